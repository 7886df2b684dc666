#include "net/instancecore.h"

#include "net/refusalanswer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawdoor::net {

namespace {

/** Converts each effect of the core to a call of EffectTarget. */
class EffectCarrier
{
public:
    explicit EffectCarrier(EffectTarget &target)
        : m_target(target)
    {
    }

    void operator()(const core::DispatchAttempt &effect) const
    {
        AttemptOrder order;
        order.attempt = effect.attempt;
        order.upstream = effect.upstream;
        order.address = effect.address;
        order.attemptTimeout = effect.attemptTimeout;
        order.idleTimeout = effect.idleTimeout;
        order.remainingDeadline = effect.remainingDeadline;
        order.maximumSilence = effect.maximumSilence;
        order.connectionLimit = effect.connectionLimit;
        order.freshnessHeader = effect.freshnessHeader;
        order.storeAnswerBytes = effect.storeAnswerBytes;
        order.maximumAnswerBytes = effect.maximumAnswerBytes;
        m_target.dispatch(effect.request, order);
    }

    void operator()(const core::CancelAttempt &effect) const
    {
        m_target.cancel(effect.attempt);
    }

    void operator()(const core::RelayAnswer &effect) const
    {
        m_target.relayAnswer(effect.request, effect.attempt);
    }

    void operator()(const core::RelayStored &effect) const
    {
        m_target.relayStored(effect.request, {effect.status, effect.contentType, effect.body, effect.bodyComplete});
    }

    void operator()(const core::Refuse &effect) const
    {
        m_target.refuse(effect.request, effect.refusal);
    }

    void operator()(const core::ForwardToPeer &effect) const
    {
        m_target.forward(effect.request, effect.peer, effect.address);
    }

    void operator()(const core::SendPeerMessage &effect) const
    {
        m_target.sendPeerMessage(effect.peer, effect.address, core::encodePeerMessage(effect.message));
    }

    void operator()(const core::ReadLog &effect) const
    {
        m_target.readLog(effect.fromOffset, effect.maximumRecords);
    }

    void operator()(const core::AppendLog &effect) const
    {
        m_target.appendLog(effect.record);
    }

    void operator()(const core::LogDecision &effect) const
    {
        m_target.logDecision(
            {effect.kind, effect.request, effect.customer.value, effect.subject, effect.choice, effect.reason, effect.passedOver});
    }

    void operator()(const core::StopFinished &) const
    {
        m_target.stopFinished();
    }

private:
    EffectTarget &m_target;
};

void carryOut(const core::Effects &effects, EffectTarget &target)
{
    const EffectCarrier carrier(target);
    for (const core::Effect &effect : effects) {
        std::visit(carrier, effect);
    }
}

constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

InstanceCore::InstanceCore(core::InstanceOptions options)
    : m_instance(std::move(options))
{
}

void InstanceCore::onTick(TimePoint now, EffectTarget &target)
{
    carryOut(m_instance.onTick(now), target);
}

void InstanceCore::onRequest(TimePoint now, core::CallerRequest head, const RequestContent &content, EffectTarget &target)
{
    const std::string header = m_instance.organisationHeader(customerOf(head.service));
    if (!header.empty()) {
        head.organisation = findHeader(content.headers, header);
    }
    carryOut(m_instance.onRequest(now, head), target);
}

void InstanceCore::onCallerGone(TimePoint now, core::RequestId request, EffectTarget &target)
{
    carryOut(m_instance.onCallerGone(now, request), target);
}

void InstanceCore::onAnswerHead(TimePoint now, const core::AnswerHead &head, EffectTarget &target)
{
    carryOut(m_instance.onAnswerHead(now, head), target);
}

void InstanceCore::onAttemptFinished(TimePoint now, const core::AttemptReport &report, EffectTarget &target)
{
    carryOut(m_instance.onAttemptFinished(now, report), target);
}

void InstanceCore::onForwardFailed(TimePoint now, core::RequestId request, bool, EffectTarget &target)
{
    carryOut(m_instance.onForwardFailed(now, request), target);
}

void InstanceCore::onPeerMessage(TimePoint now, const InstanceRef &from, const std::string &message, EffectTarget &target)
{
    const auto decoded = core::decodePeerMessage(message);
    if (!decoded) {
        target.logDecision({"peer-message", 0, "", from.id.value, "dropped", decoded.error().message(), ""});
        return;
    }
    carryOut(m_instance.onPeerMessage(now, from, decoded.value()), target);
}

configuration::LogPage toLogPage(const LogPageContent &page)
{
    configuration::LogPage converted;
    converted.firstRetained = page.firstRetained;
    // A page may end before the end of the log, so reading continues after its last record.
    converted.nextOffset = page.entries.empty() ? page.nextOffset : page.entries.back().offset + 1;
    converted.retention = page.retention;
    converted.entries.reserve(page.entries.size());
    for (const LogPageEntry &entry : page.entries) {
        converted.entries.push_back({entry.offset, entry.age, entry.record});
    }
    return converted;
}

void InstanceCore::onLogPage(TimePoint now, const LogPageContent &page, EffectTarget &target)
{
    carryOut(m_instance.onLogPage(now, toLogPage(page)), target);
}

void InstanceCore::onLogFailed(TimePoint now, const Error &error, EffectTarget &target)
{
    carryOut(m_instance.onLogFailed(now, error), target);
}

void InstanceCore::onAppendFinished(TimePoint, const std::string &, const Result<std::uint64_t> &, EffectTarget &)
{
    // Snapshots are appended again until a reader has seen them, so their acknowledgements carry no information.
}

void InstanceCore::onInstanceList(TimePoint now, const std::vector<ListedInstance> &instances, EffectTarget &target)
{
    core::PlatformList list;
    for (const ListedInstance &instance : instances) {
        if (!instance.upstream) {
            list.fleet.instances.push_back({instance.id, instance.address, instance.dataCentre, instance.leaving});
        } else if (instance.leaving) {
            list.leavingUpstreams.push_back(instance.address);
        }
    }
    carryOut(m_instance.onInstanceList(now, list), target);
}

void InstanceCore::onOutcomeQuery(TimePoint now, core::RequestId query, const std::string &key, EffectTarget &target)
{
    carryOut(m_instance.onOutcomeQuery(now, query, key), target);
}

JsonAnswer InstanceCore::onPlacementQuery(TimePoint now, const PlacementQuery &query)
{
    const core::PlacementReply reply = m_instance.onPlacementQuery(now, {query.service, query.caller});
    if (reply.refusal) {
        return {reply.refusal->status, refusalJson(*reply.refusal)};
    }
    const nlohmann::json document = {{"addresses", reply.addresses},
                                     {"hold_ms", reply.hold.count() / microsecondsPerMillisecond},
                                     {"ticket", reply.ticket},
                                     {"ticket_lifetime_ms", reply.ticketLifetime.count() / microsecondsPerMillisecond}};
    return {200, document.dump()};
}

void InstanceCore::beginStop(TimePoint now, EffectTarget &target)
{
    carryOut(m_instance.beginStop(now), target);
}

std::string InstanceCore::status(TimePoint now) const
{
    return core::statusToJson(m_instance.status(now));
}

JsonAnswer InstanceCore::contractState(const CustomerId &customer) const
{
    const auto state = m_instance.contractState(customer);
    nlohmann::json document = {{"customer", customer.value}, {"complete_as_of", m_instance.configurationCompleteAsOf()}};
    document["version"] = state ? state->version : 0;
    document["as_of"] = state ? state->asOf : m_instance.configurationCompleteAsOf();
    document["body"] = state && state->body ? nlohmann::json(*state->body) : nlohmann::json();
    return {200, document.dump()};
}

bool InstanceCore::ready() const
{
    return m_instance.ready();
}

std::unique_ptr<DecisionCore> makeInstanceCore(const CoreIdentity &identity)
{
    membership::Member self;
    self.ref = identity.self;
    self.address = identity.peersAddress;
    self.callerAddress = identity.callersAddress;
    self.dataCentre = identity.dataCentre;
    self.state = membership::MemberState::Live;
    return std::make_unique<InstanceCore>(core::InstanceOptionsBuilder()
                                              .self(std::move(self))
                                              .startedAt(now())
                                              .seed(identity.seed)
                                              .authenticate(identity.authenticate)
                                              .build());
}

} // namespace jackdawdoor::net
