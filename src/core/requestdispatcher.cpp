#include "core/requestdispatcher.h"

#include "base/stablehash.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::core {

namespace {

/** A non-idempotent attempt may run this long past the caller's deadline, so that its outcome becomes known. */
constexpr Duration lateAnswerAllowance = std::chrono::seconds{10};
/** Bytes of an answer stored for later requests with the same idempotency key. */
constexpr std::uint64_t storedAnswerBytes = std::uint64_t{16} * 1024;
/** A pass over the queue ends after this many requests for which no usable slot is free. */
constexpr std::size_t maximumUnplaceable = 4;

bool contains(const std::vector<UpstreamId> &upstreams, const UpstreamId &upstream)
{
    return std::find(upstreams.begin(), upstreams.end(), upstream) != upstreams.end();
}

} // namespace

RequestDispatcher::RequestDispatcher(ServiceTable &services, Outbox &outbox, RandomSource &random)
    : m_services(services)
    , m_outbox(outbox)
    , m_random(random)
{
}

void RequestDispatcher::setKeyHooks(KeyHooks hooks)
{
    m_keyHooks = std::move(hooks);
}

void RequestDispatcher::begin(TimePoint now, PreparedRequest prepared, std::string key)
{
    const RequestId id = prepared.request.id;
    ActiveRequest &request = m_requests[id];
    request.prepared = std::move(prepared);
    request.key = std::move(key);
    ++m_counts.admitted;
    ServiceState *service = m_services.findOrCreate(now, request.prepared.service->id);
    if (service == nullptr) {
        refuseActive(
            now, request, {404, Disposition::NotRun, RefusalStage::NoContract, false, std::nullopt, "the service is not in force"});
        finishIfDone(id);
        return;
    }
    service->retries.onOriginal();
    if (tryDispatch(now, request, false) == Dispatch::NoSlot) {
        enqueue(now, request, *service);
    }
    m_services.reportIfDue(now, *service);
    drainQueue(now, *service);
    finishIfDone(id);
}

RequestDispatcher::Dispatch RequestDispatcher::tryDispatch(TimePoint now, ActiveRequest &request, bool paidByRetryBudget)
{
    ServiceState *service = m_services.findOrCreate(now, request.prepared.service->id);
    if (service == nullptr) {
        return Dispatch::NoSlot;
    }
    if (!admitSuspect(now, request, *service)) {
        return Dispatch::Refused;
    }
    const std::vector<routing::RoutingCandidate> candidates = candidatesFor(now, request, *service);
    const routing::RoutingRequest wanted{request.operation().id, request.operation().idempotent, request.excluded};
    const routing::RoutingDecision decision = routing::chooseUpstream(now, wanted, candidates, m_random);
    if (!decision.choice) {
        // Reports the unmet demand to the coordinator, which may lease further slots.
        service->slots.setBacklog(static_cast<int>(service->queue.size()) + 1);
        return Dispatch::NoSlot;
    }
    const UpstreamId &upstream = candidates[*decision.choice].upstream;
    if (!service->slots.tryAcquire(now, upstream)) {
        return Dispatch::NoSlot;
    }
    if (request.crashSuspect && !service->suspects.beginTrial(now, request.prepared.request.fingerprint, upstream)) {
        service->slots.release(now, upstream);
        return Dispatch::NoSlot;
    }
    if (!request.key.empty() && !m_keyHooks.startDispatch(now, request.key)) {
        service->slots.release(now, upstream);
        // The key table knows the outcome, but startDispatch() doesn't return why it denied the dispatch.
        request.mayHaveRun = true;
        refuseActive(now,
                     request,
                     {409,
                      Disposition::Unknown,
                      RefusalStage::KeyClosed,
                      false,
                      std::nullopt,
                      "the key may not be dispatched; ask for its outcome"});
        return Dispatch::Refused;
    }
    startAttempt(now, request, *service, decision, upstream, paidByRetryBudget);
    m_outbox.log({"route",
                  request.id(),
                  service->policy->customer,
                  request.operation().id.value,
                  upstream.value,
                  routing::reasonName(decision.reason),
                  routing::describePassedOver(decision, candidates)});
    return Dispatch::Started;
}

bool RequestDispatcher::admitSuspect(TimePoint now, ActiveRequest &request, ServiceState &service)
{
    using idempotency::SuspectStatus;
    const SuspectStatus verdict = service.suspects.statusOf(now, request.prepared.request.fingerprint);
    request.crashSuspect = verdict == SuspectStatus::Exclusive;
    if (verdict == SuspectStatus::Unrestricted || verdict == SuspectStatus::Exclusive) {
        return true;
    }
    const bool trialRunning = verdict == SuspectStatus::TrialRunning;
    Refusal refusal;
    refusal.status = trialRunning ? 503 : 422;
    refusal.stage = RefusalStage::CrashSuspect;
    refusal.waitingHelps = trialRunning;
    refusal.reason = trialRunning ? "an earlier copy of this request crashed an upstream and is being tried alone"
                                  : "this request crashed each upstream that ran it";
    refuseActive(now, request, std::move(refusal));
    return false;
}

std::vector<routing::RoutingCandidate>
RequestDispatcher::candidatesFor(TimePoint now, const ActiveRequest &request, const ServiceState &service) const
{
    std::vector<UpstreamId> crashed;
    if (request.crashSuspect) {
        crashed = service.suspects.crashedUpstreams(now, request.prepared.request.fingerprint);
    }
    std::vector<routing::RoutingCandidate> candidates;
    candidates.reserve(service.policy->upstreams.size());
    for (const contract::UpstreamPolicy &upstream : service.policy->upstreams) {
        routing::RoutingCandidate candidate;
        candidate.upstream = upstream.id;
        candidate.state = service.health.stateOf(now, upstream.id);
        candidate.freeSlots = service.slots.freeSlots(now, upstream.id);
        candidate.expectedLatency = service.health.expectedLatency(request.operation().id, upstream.id);
        const bool notAlone = request.crashSuspect && (service.slots.inUse(upstream.id) > 0 || contains(crashed, upstream.id));
        if (notAlone || service.suspects.reservedForTrial(now, upstream.id)) {
            candidate.freeSlots = 0;
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

void RequestDispatcher::startAttempt(TimePoint now,
                                     ActiveRequest &request,
                                     ServiceState &service,
                                     const routing::RoutingDecision &decision,
                                     const UpstreamId &upstream,
                                     bool paidByRetryBudget)
{
    const contract::OperationPolicy &operation = request.operation();
    const contract::UpstreamPolicy &target = *service.upstreams.at(upstream);
    Attempt attempt;
    attempt.id = m_nextAttempt++;
    attempt.request = request.id();
    attempt.service = service.policy->id;
    attempt.upstream = upstream;
    attempt.started = now;
    attempt.kind = decision.kind;
    attempt.retry = paidByRetryBudget;
    attempt.suspectTrial = request.crashSuspect;
    service.health.attemptStarted(now, upstream, attempt.id, operation.id, decision.kind, decision.newConnection);
    ++request.attemptsStarted;
    ++m_counts.attempts;
    m_counts.retries += paidByRetryBudget ? 1 : 0;
    request.running.push_back(attempt.id);
    request.excluded.push_back(upstream);

    const Duration remaining = std::max(Duration{0}, request.prepared.deadline - now);
    DispatchAttempt dispatch;
    dispatch.request = request.id();
    dispatch.attempt = attempt.id;
    dispatch.upstream = upstream;
    dispatch.address = target.address;
    dispatch.attemptTimeout = operation.idempotent ? std::min(operation.attemptTimeout, remaining) : remaining + lateAnswerAllowance;
    dispatch.idleTimeout = operation.idleTimeout;
    dispatch.remainingDeadline = remaining;
    dispatch.maximumSilence = decision.newConnection ? Duration{0} : service.connections.maximumSilence(operation);
    dispatch.connectionLimit = std::max(1, limits::ConnectionRule::connectionShare(target, service.holders));
    dispatch.freshnessHeader = operation.wrongAnswer.freshnessHeader;
    dispatch.storeAnswerBytes = request.key.empty() ? 0 : storedAnswerBytes;
    dispatch.maximumAnswerBytes = operation.maximumAnswerBytes;
    m_outbox.add(std::move(dispatch));
    m_attempts.emplace(attempt.id, std::move(attempt));
}

void RequestDispatcher::enqueue(TimePoint now, ActiveRequest &request, ServiceState &service)
{
    const Duration expected = service.health.expectedLatency(request.operation().id, service.policy->upstreams.front().id);
    const TimePoint usefulUntil = request.prepared.deadline - expected;
    const limits::PushResult result = service.queue.push(now, {request.id(), request.prepared.request.organisation, usefulUntil, 1});
    service.slots.setBacklog(static_cast<int>(service.queue.size()));
    if (result.displaced) {
        ActiveRequest *displaced = find(*result.displaced);
        displaced->queued = false;
        refuseActive(now,
                     *displaced,
                     {503,
                      Disposition::NotRun,
                      RefusalStage::QueueFull,
                      true,
                      std::nullopt,
                      "displaced by an organisation with fewer requests waiting"});
        finishIfDone(*result.displaced);
    }
    if (result.admission == limits::QueueAdmission::Admitted) {
        request.queued = true;
        return;
    }
    const bool full = result.admission == limits::QueueAdmission::QueueFull;
    refuseActive(now,
                 request,
                 {503,
                  Disposition::NotRun,
                  full ? RefusalStage::QueueFull : RefusalStage::DeadlineTooShort,
                  true,
                  std::nullopt,
                  full ? "too many requests are waiting" : "the request could not be answered within its deadline"});
}

bool RequestDispatcher::anyFreeSlot(TimePoint now, const ServiceState &service) const
{
    return std::any_of(service.policy->upstreams.begin(), service.policy->upstreams.end(), [&](const auto &upstream) {
        return service.slots.freeSlots(now, upstream.id) > 0;
    });
}

void RequestDispatcher::drainQueue(TimePoint now, ServiceState &service)
{
    std::vector<RequestId> unplaceable;
    while (unplaceable.size() < maximumUnplaceable && service.queue.size() > 0 && anyFreeSlot(now, service)) {
        const auto next = service.queue.pop(now);
        if (!next) {
            break;
        }
        ActiveRequest *request = find(next->id);
        request->queued = false;
        if (tryDispatch(now, *request, request->attemptsStarted > 0) == Dispatch::NoSlot) {
            unplaceable.push_back(next->id);
        }
        finishIfDone(next->id);
    }
    for (const RequestId id : unplaceable) {
        enqueue(now, *find(id), service);
        finishIfDone(id);
    }
    service.slots.setBacklog(static_cast<int>(service.queue.size()));
}

void RequestDispatcher::refuse(TimePoint now, const PreparedRequest &prepared, Refusal refusal)
{
    emitRefusal(now, prepared, std::move(refusal));
}

void RequestDispatcher::emitRefusal(TimePoint now, const PreparedRequest &prepared, Refusal refusal)
{
    ServiceState *service = prepared.service == nullptr ? nullptr : m_services.find(prepared.service->id);
    if (service != nullptr && refusal.waitingHelps && !refusal.retryAfter) {
        refusal.retryAfter = service->retryHint.onRefused(now, service->queue.expectedWait(now), m_random);
    }
    (refusal.disposition == Disposition::NotRun ? m_counts.refusedNotRun : m_counts.refusedUnknown) += 1;
    m_outbox.log({"refuse",
                  prepared.request.id,
                  prepared.customer ? prepared.customer->customer : CustomerId{},
                  prepared.operation == nullptr ? prepared.request.service.value : prepared.operation->id.value,
                  stageName(refusal.stage),
                  refusal.reason,
                  ""});
    m_outbox.add(Refuse{prepared.request.id, std::move(refusal)});
}

void RequestDispatcher::refuseActive(TimePoint now, ActiveRequest &request, Refusal refusal)
{
    if (request.answered) {
        return;
    }
    const bool mayHaveRun = request.mayHaveRun || !request.running.empty();
    if (mayHaveRun) {
        refusal.disposition = Disposition::Unknown;
    } else if (!request.key.empty()) {
        reportKey(now, request, {RunEnd::NotRunClosed, {}});
    }
    request.answered = true;
    emitRefusal(now, request.prepared, std::move(refusal));
}

void RequestDispatcher::reportKey(TimePoint now, ActiveRequest &request, const RunReport &report)
{
    if (!request.key.empty()) {
        m_keyHooks.finished(now, request.key, report);
    }
}

ActiveRequest *RequestDispatcher::find(RequestId request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

void RequestDispatcher::finishIfDone(RequestId id)
{
    const ActiveRequest *request = find(id);
    if (request != nullptr && request->answered && request->running.empty() && !request->queued) {
        m_requests.erase(id);
    }
}

std::size_t RequestDispatcher::activeCount() const
{
    return m_requests.size();
}

const RequestCounts &RequestDispatcher::counts() const
{
    return m_counts;
}

} // namespace jackdawdoor::core
