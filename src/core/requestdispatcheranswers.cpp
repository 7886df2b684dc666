/* RequestDispatcher: answers, retries and ends of attempts. */
#include "base/stablehash.h"
#include "core/answerclass.h"
#include "core/httpstatus.h"
#include "core/requestdispatcher.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::core {

using health::OutcomeKind;

namespace {

bool isShortBody(const contract::WrongAnswerRule &rule, const AnswerHead &head, const AttemptReport &report)
{
    return head.status < httpstatus::firstClientError && report.answerBytes < rule.minimumBodyBytes;
}

} // namespace

void RequestDispatcher::observe(TimePoint now, Attempt &attempt, OutcomeKind outcome, bool newConnection)
{
    attempt.healthRecorded = true;
    ServiceState *service = m_services.find(attempt.service);
    if (service == nullptr) {
        return;
    }
    const auto request = m_requests.find(attempt.request);
    health::Observation observation;
    observation.upstream = attempt.upstream;
    observation.operation = request == m_requests.end() ? OperationId{} : request->second.operation().id;
    observation.attempt = attempt.id;
    observation.outcome = outcome;
    observation.firstByte = attempt.answered.value_or(now) - attempt.started;
    observation.newConnection = newConnection;
    observation.kind = attempt.kind;
    m_services.applyHealthChanges(now, *service, service->health.record(now, observation));
}

void RequestDispatcher::abandon(Attempt &attempt)
{
    if (!attempt.abandoned) {
        attempt.abandoned = true;
        m_outbox.add(CancelAttempt{attempt.id});
    }
}

void RequestDispatcher::abandonOthers(ActiveRequest &request, AttemptId keep)
{
    for (const AttemptId id : request.running) {
        if (id != keep) {
            abandon(m_attempts.at(id));
        }
    }
}

void RequestDispatcher::onAnswerHead(TimePoint now, const AnswerHead &head)
{
    const auto found = m_attempts.find(head.attempt);
    if (found == m_attempts.end() || found->second.abandoned) {
        return;
    }
    Attempt &attempt = found->second;
    ActiveRequest &request = *find(attempt.request);
    if (request.relaying) {
        abandon(attempt);
        return;
    }
    const OutcomeKind outcome = classifyHead(request.operation().wrongAnswer, head);
    if (outcome == OutcomeKind::Success) {
        attempt.answered = now;
        if (ServiceState *service = m_services.find(attempt.service)) {
            service->health.headArrived(now, attempt.upstream, attempt.id);
        }
        relay(now, request, attempt, head);
    } else {
        onBadHead(now, request, attempt, head, outcome);
    }
    finishIfDone(attempt.request);
}

void RequestDispatcher::relay(TimePoint now, ActiveRequest &request, Attempt &attempt, const AnswerHead &head)
{
    if (ServiceState *service = m_services.find(attempt.service)) {
        service->retryHint.onServed(now);
    }
    request.relaying = attempt.id;
    request.relayedHead = head;
    request.mayHaveRun = true;
    ++m_counts.relayed;
    abandonOthers(request, attempt.id);
    m_outbox.add(RelayAnswer{request.id(), attempt.id});
}

void RequestDispatcher::onBadHead(TimePoint now, ActiveRequest &request, Attempt &attempt, const AnswerHead &head, OutcomeKind outcome)
{
    observe(now, attempt, outcome, false);
    const bool shed = outcome == OutcomeKind::Shed;
    const bool idempotent = request.operation().idempotent;
    request.mayHaveRun = request.mayHaveRun || !shed;
    if (outcome == OutcomeKind::Error && (!idempotent || request.callerGone)) {
        relay(now, request, attempt, head);
        return;
    }
    // Excludes this attempt from the running ones: its head tells whether the request may have run.
    std::erase(request.running, attempt.id);
    const bool retried = (idempotent || shed) && retry(now, request, shed);
    request.running.push_back(attempt.id);
    if (!retried && outcome == OutcomeKind::Error) {
        relay(now, request, attempt, head);
        return;
    }
    abandon(attempt);
    if (retried) {
        return;
    }
    if (request.answered && shed) {
        reportKey(now, request, {RunEnd::NotRunOpen, {}});
    }
    if (!idempotent && !shed) {
        reportKey(now, request, {RunEnd::Unknown, {}});
    }
    std::erase(request.running, attempt.id);
    if (shed) {
        refuseActive(now,
                     request,
                     {httpstatus::serviceUnavailable,
                      Disposition::NotRun,
                      RefusalStage::NoUpstream,
                      true,
                      std::nullopt,
                      "upstreams shed the request before running it"});
    } else {
        refuseActive(now,
                     request,
                     {httpstatus::badGateway,
                      Disposition::Unknown,
                      RefusalStage::AttemptsExhausted,
                      idempotent,
                      std::nullopt,
                      "the upstream's answer breaks the contract"});
    }
    request.running.push_back(attempt.id);
}

bool RequestDispatcher::retry(TimePoint now, ActiveRequest &request, bool provenNotRun)
{
    ServiceState *service = m_services.find(request.prepared.service->id);
    const bool exhausted = request.callerGone || request.answered || now >= request.prepared.deadline
                           || request.attemptsStarted >= request.operation().maximumAttempts;
    if (exhausted || service == nullptr || !service->retries.tryRetry()) {
        return false;
    }
    if (provenNotRun) {
        reportKey(now, request, {RunEnd::NotRunRetry, {}});
    }
    if (tryDispatch(now, request, true) == Dispatch::NoSlot) {
        enqueue(now, request, *service);
    }
    return true;
}

void RequestDispatcher::onAttemptFinished(TimePoint now, const AttemptReport &report)
{
    const auto found = m_attempts.find(report.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt attempt = found->second; // a copy: onCrash() needs the entry in m_attempts
    ServiceState *service = m_services.find(attempt.service);
    bool countsAgainstUpstream = true;
    if (report.end == AttemptEnd::Reset && service != nullptr) {
        countsAgainstUpstream = onCrash(now, attempt, *service);
    }
    m_attempts.erase(found);
    ActiveRequest &request = *find(attempt.request);
    std::erase(request.running, attempt.id);
    if (service != nullptr) {
        service->slots.release(now, attempt.upstream);
        service->queue.onServed(now);
    }
    const bool relayed = request.relaying == attempt.id;
    const bool wanted = relayed || !attempt.abandoned;
    const bool complete = wanted && report.end == AttemptEnd::Complete;
    updateCrashSuspect(now, request, attempt, report.end, complete);
    if (service != nullptr && attempt.retry && wanted && !complete) {
        service->retries.onRetryFailed();
    }
    if (relayed) {
        onRelayedEnd(now, request, attempt, report);
    } else {
        if (!attempt.healthRecorded) {
            const bool counted = wanted && countsAgainstUpstream;
            observe(now, attempt, counted ? classifyEnd(report.end) : OutcomeKind::Abandoned, report.newConnection);
        }
        if (wanted) {
            onUnansweredEnd(now, request, report);
        }
    }
    finishIfDone(attempt.request);
    if (service != nullptr) {
        drainQueue(now, *service);
        m_services.reportIfDue(now, *service);
    }
}

void RequestDispatcher::updateCrashSuspect(TimePoint now,
                                           const ActiveRequest &request,
                                           const Attempt &attempt,
                                           AttemptEnd end,
                                           bool complete)
{
    ServiceState *service = m_services.find(attempt.service);
    if (service == nullptr) {
        return;
    }
    const std::uint64_t fingerprint = request.prepared.request.fingerprint;
    if (complete) {
        if (const auto cleared = service->suspects.onComplete(now, fingerprint)) {
            m_services.shareSuspects(*service, {*cleared});
        }
    } else if (attempt.suspectTrial && end != AttemptEnd::Reset) {
        service->suspects.endTrial(fingerprint);
    }
}

void RequestDispatcher::onRelayedEnd(TimePoint now, ActiveRequest &request, Attempt &attempt, const AttemptReport &report)
{
    const bool complete = report.end == AttemptEnd::Complete;
    const bool shortBody = complete && isShortBody(request.operation().wrongAnswer, request.relayedHead, report);
    if (!attempt.healthRecorded) {
        observe(now, attempt, shortBody ? OutcomeKind::ShortBody : classifyEnd(report.end), report.newConnection);
    }
    RunReport run;
    if (complete) {
        run.end = RunEnd::Completed;
        const bool whole = report.storedBody.size() == report.answerBytes;
        run.answer = {request.relayedHead.status, request.relayedHead.contentType, report.storedBody, whole};
    }
    reportKey(now, request, run);
    request.answered = true;
}

void RequestDispatcher::onUnansweredEnd(TimePoint now, ActiveRequest &request, const AttemptReport &report)
{
    const bool provenNotRun = report.end == AttemptEnd::ConnectFailed;
    const bool idempotent = request.operation().idempotent;
    request.mayHaveRun = request.mayHaveRun || !provenNotRun;
    if (request.relaying || !request.running.empty() || request.queued) {
        return;
    }
    if (!idempotent && !provenNotRun) {
        reportKey(now, request, {RunEnd::Unknown, {}});
        refuseActive(now,
                     request,
                     {httpstatus::gatewayTimeout,
                      Disposition::Unknown,
                      RefusalStage::AnswerLost,
                      false,
                      std::nullopt,
                      "the upstream's answer was lost; ask for the outcome of the key"});
        return;
    }
    if (request.callerGone || request.answered) {
        if (provenNotRun) {
            reportKey(now, request, {RunEnd::NotRunOpen, {}});
        }
        request.answered = true;
        return;
    }
    if (retry(now, request, provenNotRun)) {
        return;
    }
    refuseActive(now,
                 request,
                 {httpstatus::badGateway,
                  Disposition::NotRun,
                  RefusalStage::AttemptsExhausted,
                  true,
                  std::nullopt,
                  "no attempt at an upstream succeeded"});
}

bool RequestDispatcher::onCrash(TimePoint now, const Attempt &attempt, ServiceState &service)
{
    // All attempts in flight at a crash end with a reset; they count as one crash.
    const auto last = service.lastCrash.find(attempt.upstream);
    if (last != service.lastCrash.end() && attempt.started <= last->second) {
        return true;
    }
    service.lastCrash[attempt.upstream] = now;
    std::vector<idempotency::InFlightRequest> inFlight;
    for (const auto &[id, other] : m_attempts) {
        if (other.upstream == attempt.upstream) {
            const CallerRequest &request = find(other.request)->prepared.request;
            inFlight.push_back({request.fingerprint, stableHash(request.organisation)});
        }
    }
    const idempotency::CrashAttribution attribution = service.suspects.onCrash(now, attempt.upstream, inFlight);
    m_services.shareSuspects(service, attribution.reports);
    if (!attribution.countsAgainstUpstream) {
        m_outbox.log({"suspect",
                      attempt.request,
                      service.policy->customer,
                      attempt.upstream.value,
                      "not counted",
                      "a crash suspect was in flight",
                      ""});
    }
    return attribution.countsAgainstUpstream;
}

} // namespace jackdawdoor::core
