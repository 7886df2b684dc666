/** Handles one request of a caller, from its arrival to its final answer. */
#pragma once

#include "proxy/attempt.h"
#include "proxy/callerconnection.h"
#include "proxy/requestcontext.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::proxy {

/** Least Retry-After of a refusal: late enough that a slot is free, early enough for another attempt within the deadline. */
constexpr Duration minimumRetryAfter = std::chrono::milliseconds{250};

/** Runs the attempts of a request. Owned by ProxyServer; one per connection at a time. */
class Exchange
{
public:
    Exchange(RequestContext &context, CallerConnection &caller, CallerRequest &&request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** Routes the request and starts its first attempt, or refuses it. */
    void begin();

    /** The caller disconnected: cancels all attempts. */
    void callerGone();

    /** Periodic work: reports overdue attempts, hedges an idempotent request at a second upstream, resumes paused reading. */
    void tick(TimePoint now);

    /** The final answer has been given or the caller has disconnected. */
    bool done() const;

    /** Memory of the request's body and of the answers that are being buffered. */
    std::size_t heldBytes() const;

    /** Gives the final answer now, because the process stops or memory is short. */
    void endForStop();

    /** Organisation of the caller; nullptr if none is known. */
    const routing::Organisation *organisation() const;

    /** Priority of the request once it has a route: that of the organisation, or else that of the route. 0 is the highest. */
    int priority() const;

private:
    Duration objectiveLeft(TimePoint now) const;
    limits::CapacityUse capacityUse(TimePoint now);
    bool authenticate(TimePoint now, std::string_view host, std::string_view path);
    CallerIdentity callerIdentity() const;
    bool admitByQuota(TimePoint now);
    void giveBackQuota(TimePoint now);
    fleet::UpstreamChoice choose(TimePoint now);
    void tryAttempt(TimePoint now);
    void retry(TimePoint now);
    void waitForCapacity(TimePoint now, const fleet::UpstreamChoice &choice);
    void startAttempt(TimePoint now, const fleet::UpstreamChoice &choice);
    void recordSignals(const Attempt &attempt);
    void attemptEnded(Attempt &attempt);
    void recordOutcome(TimePoint now, const Attempt &attempt, fleet::AttemptOutcome outcome);
    void recordCrashEvidence(TimePoint now, const Attempt &attempt, fleet::AttemptOutcome outcome);
    bool beginStreaming(Attempt &attempt);
    void forwardChunk(Attempt &attempt, std::string_view bytes);
    void sendAnswer(const Attempt &attempt);
    void refuse(TimePoint now, const char *reason, Duration retryAfter = {});
    void fail(TimePoint now, int status, const char *reason);
    void onTimeout();
    void endUnanswered(fleet::AttemptOutcome outcome);
    void finish(TimePoint now, int status, const char *reason);
    void abandon(TimePoint now, const Attempt &attempt);
    void releaseAttempts(TimePoint now);
    std::size_t unsentLimit() const;
    bool hedgeDue(TimePoint now) const;
    Duration maximumIdle() const;
    net::Headers ownHeaders() const;
    const routing::Route &route() const;
    bool idempotent() const;

    RequestContext &m_context;
    CallerConnection &m_caller;
    CallerRequest m_request;
    std::string m_requestId;
    routing::RouteTablePointer m_table; ///< owns the route
    const routing::Route *m_route = nullptr;
    const routing::Organisation *m_organisation = nullptr; ///< owned by the table
    ServiceId m_service;
    TimePoint m_deadline{}; ///< latest time of the final answer
    TimePoint m_capacityDeadline{}; ///< refused at this time if no upstream has capacity
    net::Timer m_timer;
    net::Timer m_waitTimer;
    std::vector<std::unique_ptr<Attempt>> m_attempts;
    std::vector<std::unique_ptr<Attempt>> m_endedAttempts; ///< kept until the exchange ends, since their hooks may be running
    std::vector<UpstreamId> m_tried;
    Attempt *m_streaming = nullptr;
    fleet::RequestFingerprint m_fingerprint;
    int m_possibleRuns = 0;
    int m_attemptCount = 0;
    int m_lostConnections = 0; ///< attempts whose upstream ended the connection
    bool m_counted = false; ///< among the requests of its service
    bool m_chargedToQuota = false; ///< the organisation's quota has paid for the request
    bool m_mayHaveRun = false;
    bool m_callerGone = false;
    bool m_done = false;
};

} // namespace jackdawdoor::proxy
