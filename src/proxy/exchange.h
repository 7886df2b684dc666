/** One request of a caller, from its arrival to its final answer. */
#pragma once

#include "proxy/attempt.h"
#include "proxy/callerconnection.h"
#include "proxy/requestcontext.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Answer bytes that may wait for a slow caller before reading from the upstream pauses. */
constexpr std::size_t maximumUnsentBytes = std::size_t{512} * 1024;

/** Runs the attempts of a request. Owned by the proxy task; one per connection at a time. */
class Exchange
{
public:
    Exchange(RequestContext &context, CallerConnection &caller, CallerRequest &&request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** Admits the request and starts its first attempt, or refuses it. */
    void begin();

    /** The caller has left: all attempts end. */
    void callerGone();

    /** Reports attempts that run long and sends a repeatable request to a second upstream. */
    void tick(TimePoint now);

    /** The final answer has been given or the caller has gone. */
    bool done() const;

    /** True while an upstream may be at work on it. */
    bool running() const;

    /** The process stops: the request gets its final answer now. */
    void endForStop();

private:
    fleet::UpstreamChoice choose(TimePoint now);
    void tryAttempt(TimePoint now);
    void waitForCapacity(TimePoint now, const fleet::UpstreamChoice &choice);
    void startAttempt(TimePoint now, const fleet::UpstreamChoice &choice);
    void attemptEnded(Attempt &attempt);
    void recordOutcome(TimePoint now, const Attempt &attempt, fleet::AttemptOutcome outcome);
    bool beginStreaming(Attempt &attempt);
    void forwardChunk(Attempt &attempt, std::string_view bytes);
    void sendAnswer(const Attempt &attempt);
    void refuse(TimePoint now, const char *reason);
    void fail(TimePoint now, int status, const char *reason);
    void onTimeout();
    void endUnanswered(fleet::AttemptOutcome outcome);
    void finish(TimePoint now, int status, const char *reason);
    void abandon(TimePoint now, const Attempt &attempt);
    void releaseAttempts(TimePoint now);
    bool hedgeDue(TimePoint now) const;
    Duration maximumIdle() const;
    net::Headers ownHeaders() const;
    const routing::Route &route() const;
    bool idempotent() const;

    RequestContext &m_context;
    CallerConnection &m_caller;
    CallerRequest m_request;
    std::string m_requestId;
    routing::RouteTablePointer m_table; ///< keeps the route alive
    const routing::Route *m_route = nullptr;
    ServiceId m_service;
    TimePoint m_deadline{}; ///< final answer at this time at the latest
    TimePoint m_capacityDeadline{}; ///< without an upstream with room it is refused then
    net::Timer m_timer;
    net::Timer m_waitTimer;
    std::vector<std::unique_ptr<Attempt>> m_attempts;
    std::vector<std::unique_ptr<Attempt>> m_endedAttempts; ///< destroyed with the exchange
    std::vector<UpstreamId> m_tried;
    Attempt *m_streaming = nullptr;
    std::uint64_t m_fingerprint = 0;
    int m_possibleRuns = 0;
    int m_attemptCount = 0;
    bool m_mayHaveRun = false;
    bool m_done = false;
};

} // namespace jackdawdoor::proxy
