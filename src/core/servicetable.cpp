#include "core/servicetable.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::core {

namespace {

/** A service without requests for this long is dropped; its state is rebuilt from reports when requests resume. */
constexpr Duration idleServiceTime = std::chrono::minutes{2};

} // namespace

ServiceTable::ServiceTable(InstanceRef self,
                           const configuration::Configuration &configuration,
                           placement::PlacementTable &placement,
                           Outbox &outbox)
    : m_self(std::move(self))
    , m_configuration(configuration)
    , m_placement(placement)
    , m_outbox(outbox)
{
}

const contract::ServicePolicy *ServiceTable::policyOf(const ServiceId &service, configuration::PolicyPointer &customer) const
{
    customer = m_configuration.policyOf(customerOf(service));
    return customer ? customer->findService(service) : nullptr;
}

ServiceState *ServiceTable::findOrCreate(TimePoint now, const ServiceId &service)
{
    if (ServiceState *known = find(service)) {
        known->lastUsed = now;
        return known;
    }
    configuration::PolicyPointer customer;
    const contract::ServicePolicy *policy = policyOf(service, customer);
    if (policy == nullptr) {
        return nullptr;
    }
    const auto state = m_configuration.stateOf(customer->customer);
    auto created = std::make_unique<ServiceState>(customer, *policy, state ? state->version : 0, m_self.id);
    created->lastUsed = now;
    markLeaving(*created);
    return m_services.emplace(service, std::move(created)).first->second.get();
}

ServiceState *ServiceTable::find(const ServiceId &service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second.get();
}

bool ServiceTable::isCoordinator(const ServiceId &service)
{
    const membership::Member *coordinator = m_placement.coordinator(service);
    return coordinator != nullptr && coordinator->ref == m_self;
}

ServiceCoordinator *ServiceTable::findOrCreateCoordinator(TimePoint now, const ServiceId &service)
{
    if (!isCoordinator(service)) {
        return nullptr;
    }
    if (const auto found = m_coordinated.find(service); found != m_coordinated.end()) {
        return found->second.get();
    }
    configuration::PolicyPointer customer;
    const contract::ServicePolicy *policy = policyOf(service, customer);
    if (policy == nullptr) {
        return nullptr;
    }
    const auto state = m_configuration.stateOf(customer->customer);
    auto created = std::make_unique<ServiceCoordinator>(now, customer, *policy, state ? state->version : 0);
    created->setLeavingAddresses(m_leavingAddresses);
    const membership::MembershipView &view = m_placement.view();
    created->onTick(now, static_cast<int>(view.listed), static_cast<int>(view.visible));
    m_outbox.log({"coordinate", 0, customer->customer, service.value, m_self.id.value, "ranked first for the service", ""});
    return m_coordinated.emplace(service, std::move(created)).first->second.get();
}

void ServiceTable::onTick(TimePoint now)
{
    startCoordination(now);
    tickCoordinators(now);
    std::vector<ServiceId> idle;
    for (auto &[id, service] : m_services) {
        if (isIdle(now, *service)) {
            idle.push_back(id);
            continue;
        }
        tickService(now, *service);
    }
    for (const ServiceId &id : idle) {
        m_services.erase(id);
    }
}

void ServiceTable::startCoordination(TimePoint now)
{
    const std::uint64_t epoch = m_placement.view().epoch;
    if (epoch == m_coordinationEpoch && !m_configurationChanged) {
        return;
    }
    m_coordinationEpoch = epoch;
    m_configurationChanged = false;
    // A new coordinator grants no leases for one lease term. Starting before the first request hides this delay.
    for (const auto &[customer, version] : m_configuration.versions()) {
        const configuration::PolicyPointer policy = m_configuration.policyOf(customer);
        if (!policy) {
            continue;
        }
        for (const contract::ServicePolicy &service : policy->services) {
            findOrCreateCoordinator(now, service.id);
        }
    }
}

void ServiceTable::tickCoordinators(TimePoint now)
{
    const membership::MembershipView &view = m_placement.view();
    std::vector<ServiceId> lost;
    for (auto &[id, coordinator] : m_coordinated) {
        if (isCoordinator(id)) {
            coordinator->onTick(now, static_cast<int>(view.listed), static_cast<int>(view.visible));
        } else {
            lost.push_back(id);
        }
    }
    for (const ServiceId &id : lost) {
        m_outbox.log({"coordinate", 0, customerOf(id), id.value, "", "another instance ranks first for the service", m_self.id.value});
        m_coordinated.erase(id);
    }
}

void ServiceTable::tickService(TimePoint now, ServiceState &service)
{
    applyHealthChanges(now, service, service.health.onTick(now));
    service.suspects.onTick(now);
    service.slots.setBacklog(static_cast<int>(service.queue.size()));
    service.holders = std::max<int>(1, static_cast<int>(m_placement.holders(*service.policy).size()));
    reportIfDue(now, service);
}

bool ServiceTable::isIdle(TimePoint now, const ServiceState &service) const
{
    if (now - service.lastUsed < idleServiceTime || service.queue.size() > 0) {
        return false;
    }
    return std::none_of(service.policy->upstreams.begin(), service.policy->upstreams.end(), [&service](const auto &upstream) {
        return service.slots.inUse(upstream.id) > 0;
    });
}

void ServiceTable::reportIfDue(TimePoint now, ServiceState &service)
{
    const membership::Member *coordinator = m_placement.coordinator(service.policy->id);
    if (coordinator == nullptr) {
        return;
    }
    auto demand = service.slots.nextDemand(now, coordinator->ref);
    if (!demand) {
        return;
    }
    ServiceReport report{std::move(*demand), service.health.takeEvidence(now)};
    if (coordinator->ref == m_self) {
        // The coordinator handles its own report directly, without the outbox.
        if (ServiceCoordinator *own = findOrCreateCoordinator(now, service.policy->id)) {
            onUpdate(now, m_self, own->onReport(now, m_self, report));
        }
        return;
    }
    m_outbox.send(coordinator->ref, std::move(report));
}

void ServiceTable::onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report)
{
    ServiceCoordinator *coordinator = findOrCreateCoordinator(now, report.demand.service);
    if (coordinator == nullptr) {
        return;
    }
    m_outbox.send(from, coordinator->onReport(now, from, report));
}

void ServiceTable::onUpdate(TimePoint now, const InstanceRef &from, const ServiceUpdate &update)
{
    ServiceState *service = find(update.grant.service);
    if (service == nullptr) {
        return;
    }
    const membership::Member *coordinator = m_placement.coordinator(service->policy->id);
    if (coordinator == nullptr || coordinator->ref != from) {
        return;
    }
    service->slots.onGrant(now, from, update.grant);
    applyHealthChanges(now, *service, service->health.applyVerdicts(now, update.verdicts));
}

void ServiceTable::onSuspectNotice(TimePoint now, const SuspectNotice &notice)
{
    if (ServiceState *service = findOrCreate(now, notice.service)) {
        service->suspects.onReport(now, notice.report);
    }
}

void ServiceTable::shareSuspects(const ServiceState &service, const std::vector<idempotency::SuspectReport> &reports)
{
    for (const membership::Member *holder : m_placement.holders(*service.policy)) {
        if (holder->ref == m_self) {
            continue;
        }
        for (const idempotency::SuspectReport &report : reports) {
            m_outbox.send(holder->ref, SuspectNotice{service.policy->id, report});
        }
    }
}

void ServiceTable::applyHealthChanges(TimePoint now, ServiceState &service, const std::vector<health::HealthChange> &changes)
{
    for (const health::HealthChange &change : changes) {
        const bool ejected = service.health.stateOf(now, change.upstream).standing == health::Standing::Ejected;
        service.slots.setEjected(change.upstream, ejected);
        m_outbox.log({change.change, 0, service.policy->customer, change.upstream.value, change.change, change.reason, ""});
    }
}

void ServiceTable::onConfigurationChanged(TimePoint now, const CustomerId &customer)
{
    m_configurationChanged = true;
    const auto state = m_configuration.stateOf(customer);
    const configuration::PolicyPointer policy = m_configuration.policyOf(customer);
    for (auto &[id, service] : m_services) {
        const contract::ServicePolicy *changed = policy ? policy->findService(id) : nullptr;
        if (changed != nullptr && state) {
            service->adopt(now, policy, *changed, state->version);
            markLeaving(*service);
        }
    }
    for (auto &[id, coordinator] : m_coordinated) {
        const contract::ServicePolicy *changed = policy ? policy->findService(id) : nullptr;
        if (changed != nullptr && state) {
            coordinator->adopt(now, policy, *changed, state->version);
            coordinator->setLeavingAddresses(m_leavingAddresses);
        }
    }
}

void ServiceTable::setLeavingAddresses(const std::vector<std::string> &addresses)
{
    m_leavingAddresses = addresses;
    std::sort(m_leavingAddresses.begin(), m_leavingAddresses.end());
    for (auto &[id, service] : m_services) {
        markLeaving(*service);
    }
    for (auto &[id, coordinator] : m_coordinated) {
        coordinator->setLeavingAddresses(m_leavingAddresses);
    }
}

void ServiceTable::markLeaving(ServiceState &service)
{
    for (const contract::UpstreamPolicy &upstream : service.policy->upstreams) {
        const bool leaving = std::binary_search(m_leavingAddresses.begin(), m_leavingAddresses.end(), upstream.address);
        service.health.setDraining(upstream.id, leaving);
    }
}

void ServiceTable::dropLeases()
{
    for (auto &[id, service] : m_services) {
        service->slots.dropLeases();
    }
}

const membership::Member *ServiceTable::coordinatorOf(const ServiceId &service) const
{
    return m_placement.coordinator(service);
}

const std::map<ServiceId, std::unique_ptr<ServiceState>> &ServiceTable::services() const
{
    return m_services;
}

const std::map<ServiceId, std::unique_ptr<ServiceCoordinator>> &ServiceTable::coordinated() const
{
    return m_coordinated;
}

} // namespace jackdawdoor::core
