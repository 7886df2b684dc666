#include "core/instance.h"

#include "core/matchoperation.h"
#include "placement/placecaller.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::core {

namespace {

/** Hold time of placement answers without a ticket. An instance that knows no other yet, as when a fleet starts, issues no
 * ticket and returns only its own address. Callers soon ask again, so that they neither wait long for a ticket nor stay on
 * one instance for the full hold time. */
constexpr Duration holdWithoutTicket = std::chrono::seconds{1};

std::string verdictName(configuration::PublishStatus verdict)
{
    switch (verdict) {
    case configuration::PublishStatus::Accepted:
        return "accepted";
    case configuration::PublishStatus::LostRace:
        return "lost-race";
    case configuration::PublishStatus::Invalid:
        return "invalid";
    }
    return "unknown";
}

/** Sets the disposition of a refused keyed request to Unknown: an earlier copy may have run through another instance, or
 * before this one was paused, so that "not run" would be false for the key. */
void markUnknownForKey(const PreparedRequest &prepared, Refusal &refusal)
{
    const bool repeatable = prepared.operation != nullptr && prepared.operation->idempotent;
    if (!prepared.request.key.empty() && !repeatable) {
        refusal.disposition = Disposition::Unknown;
        refusal.reason += "; an earlier copy with this key may have run";
    }
}

} // namespace

Instance::Instance(InstanceOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_membership(m_options.self, m_random)
    , m_placement(m_membership.view())
    , m_configuration(m_options.self.ref, m_options.compile, m_random)
    , m_outbox(m_options.self.ref,
               [this](const InstanceRef &peer) {
                   return m_membership.addressOf(peer);
               })
    , m_services(m_options.self.ref, m_configuration, m_placement, m_outbox)
    , m_requests(m_services, m_outbox, m_random)
    , m_keys(m_options.self.ref, m_options.authenticate, m_membership, m_requests, m_outbox)
    , m_tickets(m_options.self.ref, m_options.startedAt, m_options.authenticate)
{
}

Effects Instance::collectEffects(TimePoint now)
{
    m_placement.update(m_membership.view());
    for (std::vector<PeerMessage> local = m_outbox.takeLocal(); !local.empty(); local = m_outbox.takeLocal()) {
        for (const PeerMessage &message : local) {
            deliver(now, m_options.self.ref, message);
        }
    }
    return m_outbox.takeEffects();
}

Effects Instance::onTick(TimePoint now)
{
    m_outbox.sendAll(m_membership.onTick(now));
    m_placement.update(m_membership.view());
    handlePause(now);
    applyConfiguration(now, m_configuration.onTick(now, *m_membership.view()));
    m_services.onTick(now);
    m_requests.onTick(now);
    m_keys.onTick(now);
    finishStopIfDone();
    return collectEffects(now);
}

void Instance::handlePause(TimePoint now)
{
    if (m_membership.pauses() == m_pausesSeen) {
        return;
    }
    m_pausesSeen = m_membership.pauses();
    m_services.dropLeases();
    m_keys.resumeAfterPause(now);
    m_outbox.log({"pause", 0, {}, m_options.self.ref.id.value, "leases dropped", "the process was paused for longer than a lease", ""});
}

Effects Instance::onRequest(TimePoint now, const CallerRequest &request)
{
    PreparedRequest prepared;
    if (std::optional<Refusal> refusal = prepare(now, request, prepared)) {
        markUnknownForKey(prepared, *refusal);
        m_requests.refuse(now, prepared, std::move(*refusal));
    } else if (!prepared.operation->idempotent && !request.key.empty()) {
        m_keys.onRequest(now, std::move(prepared));
    } else {
        m_requests.begin(now, std::move(prepared), {});
    }
    return collectEffects(now);
}

Effects Instance::onCallerGone(TimePoint now, RequestId request)
{
    m_keys.onCallerGone(now, request);
    return collectEffects(now);
}

Effects Instance::onAnswerHead(TimePoint now, const AnswerHead &head)
{
    m_requests.onAnswerHead(now, head);
    return collectEffects(now);
}

Effects Instance::onAttemptFinished(TimePoint now, const AttemptReport &report)
{
    m_requests.onAttemptFinished(now, report);
    return collectEffects(now);
}

Effects Instance::onForwardFailed(TimePoint now, RequestId request)
{
    m_keys.onForwardFailed(now, request);
    return collectEffects(now);
}

Effects Instance::onPeerMessage(TimePoint now, const InstanceRef &from, const PeerMessage &message)
{
    deliver(now, from, message);
    return collectEffects(now);
}

void Instance::deliver(TimePoint now, const InstanceRef &from, const PeerMessage &message)
{
    if (const auto *membership = std::get_if<membership::MembershipMessage>(&message)) {
        m_outbox.sendAll(m_membership.onPeerMessage(now, from, *membership));
        m_placement.update(m_membership.view());
    } else if (const auto *configuration = std::get_if<configuration::ConfigurationMessage>(&message)) {
        applyConfiguration(now, m_configuration.onPeerMessage(now, from, *configuration));
    } else if (const auto *keys = std::get_if<idempotency::IdempotencyMessage>(&message)) {
        m_keys.onMessage(now, from, *keys);
    } else if (const auto *report = std::get_if<ServiceReport>(&message)) {
        m_services.onReport(now, from, *report);
    } else if (const auto *update = std::get_if<ServiceUpdate>(&message)) {
        m_services.onUpdate(now, from, *update);
        if (ServiceState *service = m_services.find(update->grant.service)) {
            m_requests.drainQueue(now, *service);
        }
    } else if (const auto *notice = std::get_if<SuspectNotice>(&message)) {
        m_services.onSuspectNotice(now, *notice);
    }
}

void Instance::applyConfiguration(TimePoint now, const configuration::ConfigurationStep &step)
{
    m_outbox.sendAll(step.messages);
    if (step.read) {
        m_outbox.add(ReadLog{step.read->fromOffset, step.read->maximumRecords});
    }
    for (const std::string &record : step.append) {
        m_outbox.add(AppendLog{record});
    }
    for (const configuration::PublishDecision &decision : step.decisions) {
        m_outbox.log({"publish",
                      0,
                      decision.customer,
                      decision.publishId,
                      verdictName(decision.status),
                      "offset " + std::to_string(decision.offset) + ", version " + std::to_string(decision.version),
                      decision.reason});
    }
    for (const configuration::ConfigurationChange &change : step.changes) {
        m_outbox.log({"configure",
                      0,
                      change.customer,
                      change.customer.value,
                      "version " + std::to_string(change.version),
                      change.policy ? "contract in force" : "contract deleted",
                      ""});
        m_services.onConfigurationChanged(now, change.customer);
    }
}

Effects Instance::onLogPage(TimePoint now, const configuration::LogPage &page)
{
    applyConfiguration(now, m_configuration.onLogPage(now, page));
    return collectEffects(now);
}

Effects Instance::onLogFailed(TimePoint now, const Error &error)
{
    m_outbox.log({"log", 0, {}, error.step, "failed", error.message(), ""});
    applyConfiguration(now, m_configuration.onLogFailed(now));
    return collectEffects(now);
}

Effects Instance::onInstanceList(TimePoint now, const PlatformList &list)
{
    m_outbox.sendAll(m_membership.onInstanceList(now, list.fleet));
    m_services.setLeavingAddresses(list.leavingUpstreams);
    return collectEffects(now);
}

Effects Instance::onOutcomeQuery(TimePoint now, RequestId query, const std::string &key)
{
    m_keys.onOutcomeQuery(now, query, key);
    return collectEffects(now);
}

PlacementReply Instance::onPlacementQuery(TimePoint now, const PlacementQuery &query)
{
    PlacementReply reply;
    const CustomerId customer = customerOf(query.service);
    reply.decision = {"place", 0, customer, query.service.value, "", "", ""};
    const configuration::PolicyPointer policy = m_configuration.policyOf(customer);
    const contract::ServicePolicy *service = policy ? policy->findService(query.service) : nullptr;
    if (service == nullptr) {
        const bool ready = m_configuration.ready();
        reply.refusal = Refusal{ready ? 404 : 503,
                                Disposition::NotRun,
                                RefusalStage::NoContract,
                                !ready,
                                std::nullopt,
                                "no contract in force has this service"};
        reply.decision.choice = "none";
        reply.decision.reason = reply.refusal->reason;
        return reply;
    }
    m_placement.update(m_membership.view());
    const placement::PlacementAnswer answer = placement::placeCaller(m_placement, *service, query.caller);
    reply.addresses = answer.addresses;
    reply.hold = answer.timeToLive;
    if (answer.home && answer.witness) {
        reply.ticket = m_tickets.issue(now, *answer.home, *answer.witness, query.service, service->ticketLifetime).encode();
        reply.ticketLifetime = service->ticketLifetime;
    } else {
        reply.hold = std::min(reply.hold, holdWithoutTicket);
    }
    reply.decision.choice = answer.addresses.empty() ? "none" : answer.addresses.front();
    reply.decision.reason = "first holder in the caller's order";
    for (std::size_t index = 1; index < answer.addresses.size(); ++index) {
        reply.decision.passedOver += (index > 1 ? ", " : "") + answer.addresses[index];
    }
    return reply;
}

Effects Instance::beginStop(TimePoint now)
{
    if (!m_stopping) {
        m_stopping = true;
        m_outbox.sendAll(m_membership.beginLeave(now));
        m_keys.beginStop(now);
    }
    return collectEffects(now);
}

void Instance::finishStopIfDone()
{
    using idempotency::StopProgress;
    const StopProgress progress = m_keys.stopProgress();
    const bool handedOver = progress == StopProgress::HandedOver || progress == StopProgress::HandoverTimedOut;
    if (m_stopping && !m_stopReported && handedOver && m_requests.activeCount() == 0 && m_keys.waitingCount() == 0) {
        m_stopReported = true;
        m_outbox.add(StopFinished{});
    }
}

bool Instance::ready() const
{
    return m_configuration.ready() && !m_stopping && !m_membership.superseded();
}

std::string Instance::organisationHeader(const CustomerId &customer) const
{
    const configuration::PolicyPointer policy = m_configuration.policyOf(customer);
    return policy ? policy->organisationHeader : std::string{};
}

std::uint64_t Instance::maximumRequestBytes(const ServiceId &service, const std::string &method, const std::string &path) const
{
    const configuration::PolicyPointer policy = m_configuration.policyOf(customerOf(service));
    const contract::ServicePolicy *found = policy ? policy->findService(service) : nullptr;
    const contract::OperationPolicy *operation = found == nullptr ? nullptr : matchOperation(*found, method, path);
    return operation == nullptr ? 0 : operation->maximumRequestBytes;
}

std::optional<configuration::CustomerState> Instance::contractState(const CustomerId &customer) const
{
    return m_configuration.stateOf(customer);
}

configuration::Offset Instance::configurationCompleteAsOf() const
{
    return m_configuration.completeAsOf();
}

} // namespace jackdawdoor::core
