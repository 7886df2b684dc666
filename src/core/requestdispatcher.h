/** Processing of requests from admission to answer: queue, attempts, retries, hedges and refusals.
 *
 * Idempotent requests are retried on other upstreams within the attempt limit, the deadline and the retry budget.
 * Non-idempotent ones are dispatched again only after an attempt that provably did not run.
 */
#pragma once

#include "base/random.h"
#include "core/activerequest.h"
#include "core/outbox.h"
#include "core/refusal.h"
#include "core/servicetable.h"
#include "routing/chooseupstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Result of processing a request with an idempotency key. */
enum class RunEnd {
    Completed,
    Unknown, ///< it may have run
    NotRunRetry, ///< provably not run; the request is dispatched again now
    NotRunOpen, ///< provably not run and not reported to the caller; a later request with the key may run
    NotRunClosed, ///< provably not run and reported so to the caller; the key is closed
};

/** Result for a key, with the answer to store. */
struct RunReport {
    RunEnd end = RunEnd::Unknown;
    idempotency::StoredAnswer answer; ///< when Completed

    bool operator==(const RunReport &) const = default;
};

/** Callbacks from RequestDispatcher to the owner of the key table. */
struct KeyHooks {
    /** Takes the single dispatch permission of a key; false if it must not be dispatched. */
    std::function<bool(TimePoint now, const std::string &key)> startDispatch;
    /** Reports the result for a key. */
    std::function<void(TimePoint now, const std::string &key, const RunReport &report)> finished;
};

/** Counters since the start of the process, for status and metrics. */
struct RequestCounts {
    std::uint64_t admitted = 0;
    std::uint64_t relayed = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0; ///< attempts charged to the retry budget, hedges included

    bool operator==(const RequestCounts &) const = default;
};

/** Dispatches requests to upstreams. */
class RequestDispatcher
{
public:
    /** The references must outlive this object. */
    RequestDispatcher(ServiceTable &services, Outbox &outbox, RandomSource &random);

    void setKeyHooks(KeyHooks hooks);

    /** Admits a request; `key` is empty if it has no idempotency key. */
    void begin(TimePoint now, PreparedRequest prepared, std::string key);

    /** Refuses a request that was not passed to begin(), and logs the refusal. */
    void refuse(TimePoint now, const PreparedRequest &prepared, Refusal refusal);

    /** The caller disconnected. */
    void onCallerGone(TimePoint now, RequestId request);

    void onAnswerHead(TimePoint now, const AnswerHead &head);
    void onAttemptFinished(TimePoint now, const AttemptReport &report);

    /** Enforces deadlines, starts hedges and dispatches queued requests. */
    void onTick(TimePoint now);

    /** Dispatches queued requests of a service while slots are free. */
    void drainQueue(TimePoint now, ServiceState &service);

    /** Number of requests that are queued or have attempts in progress. */
    std::size_t activeCount() const;

    const RequestCounts &counts() const;

private:
    enum class Dispatch {
        Started,
        NoSlot,
        Refused, ///< the request was refused
    };

    Dispatch tryDispatch(TimePoint now, ActiveRequest &request, bool paidByRetryBudget);
    bool admitSuspect(TimePoint now, ActiveRequest &request, ServiceState &service);
    std::vector<routing::RoutingCandidate> candidatesFor(TimePoint now, const ActiveRequest &request, const ServiceState &service) const;
    void startAttempt(TimePoint now,
                      ActiveRequest &request,
                      ServiceState &service,
                      const routing::RoutingDecision &decision,
                      const UpstreamId &upstream,
                      bool paidByRetryBudget);
    void enqueue(TimePoint now, ActiveRequest &request, ServiceState &service);
    void refuseActive(TimePoint now, ActiveRequest &request, Refusal refusal);
    void emitRefusal(TimePoint now, const PreparedRequest &prepared, Refusal refusal);
    void observe(TimePoint now, Attempt &attempt, health::OutcomeKind outcome, bool newConnection);
    void abandonOthers(ActiveRequest &request, AttemptId keep);
    void abandon(Attempt &attempt);
    bool retry(TimePoint now, ActiveRequest &request, bool provenNotRun);
    void onBadHead(TimePoint now, ActiveRequest &request, Attempt &attempt, const AnswerHead &head, health::OutcomeKind outcome);
    void relay(TimePoint now, ActiveRequest &request, Attempt &attempt, const AnswerHead &head);
    void updateCrashSuspect(TimePoint now, const ActiveRequest &request, const Attempt &attempt, AttemptEnd end, bool complete);
    void onRelayedEnd(TimePoint now, ActiveRequest &request, Attempt &attempt, const AttemptReport &report);
    void onUnansweredEnd(TimePoint now, ActiveRequest &request, const AttemptReport &report);
    bool onCrash(TimePoint now, const Attempt &attempt, ServiceState &service);
    void reportKey(TimePoint now, ActiveRequest &request, const RunReport &report);
    void finishIfDone(RequestId request);
    void checkDeadline(TimePoint now, ActiveRequest &request);
    void hedge(TimePoint now, ActiveRequest &request);
    bool anyFreeSlot(TimePoint now, const ServiceState &service) const;
    ActiveRequest *find(RequestId request);

    ServiceTable &m_services;
    Outbox &m_outbox;
    RandomSource &m_random;
    KeyHooks m_keyHooks;
    std::map<RequestId, ActiveRequest> m_requests;
    std::map<AttemptId, Attempt> m_attempts;
    AttemptId m_nextAttempt = 1;
    RequestCounts m_counts;
};

} // namespace jackdawdoor::core
