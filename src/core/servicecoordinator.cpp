#include "core/servicecoordinator.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::core {

ServiceCoordinator::ServiceCoordinator(TimePoint now,
                                       configuration::PolicyPointer customer,
                                       const contract::ServicePolicy &policy,
                                       std::uint64_t version)
    : m_customer(std::move(customer))
    , m_policy(&policy)
    , m_version(version)
    , m_ledger(now, policy, version)
    , m_health(policy, version)
{
}

void ServiceCoordinator::adopt(TimePoint now,
                               configuration::PolicyPointer customer,
                               const contract::ServicePolicy &policy,
                               std::uint64_t version)
{
    m_ledger.adoptPolicy(now, policy, version);
    m_health.adoptPolicy(policy, version);
    m_customer = std::move(customer);
    m_policy = &policy;
    m_version = version;
}

ServiceUpdate ServiceCoordinator::onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report)
{
    m_health.onEvidence(now, from.id, report.evidence);
    ServiceUpdate update;
    update.grant = m_ledger.onDemand(now, from, report.demand);
    update.verdicts = m_health.evaluate(now);
    return update;
}

void ServiceCoordinator::setLeavingAddresses(const std::vector<std::string> &addresses)
{
    for (const contract::UpstreamPolicy &upstream : m_policy->upstreams) {
        m_health.setUnavailable(upstream.id, std::binary_search(addresses.begin(), addresses.end(), upstream.address));
    }
}

void ServiceCoordinator::onTick(TimePoint now, int listed, int visible)
{
    m_ledger.setVisibility(now, listed, visible);
    m_ledger.onTick(now);
}

std::uint64_t ServiceCoordinator::policyVersion() const
{
    return m_version;
}

const std::optional<health::FloorBound> &ServiceCoordinator::floorBound() const
{
    return m_health.floorBound();
}

const limits::SlotLeaseManager &ServiceCoordinator::ledger() const
{
    return m_ledger;
}

} // namespace jackdawdoor::core
