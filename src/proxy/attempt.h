/** One attempt of a request at one upstream, from taking a connection to the complete answer. */
#pragma once

#include "fleet/upstreamentry.h"
#include "proxy/connectionpool.h"
#include "proxy/proxyanswer.h"
#include "proxy/upstreamprotocol.h"

#include <functional>
#include <memory>
#include <string>

namespace jackdawdoor::proxy {

/** What an upstream is told about the caller. */
struct CallerIdentity {
    bool checked = false; ///< API keys are checked here, so the caller's own credentials and claims are not forwarded
    std::string organisation; ///< empty if unknown

    bool operator==(const CallerIdentity &) const = default;
};

/** The request to send; the pointers must stay valid during start(). */
struct AttemptRequest {
    const MessageHead *head = nullptr;
    const std::string *body = nullptr;
    std::string requestId;
    Duration deadline{}; ///< remaining time, sent to the upstream
    Duration maximumIdle{}; ///< longest idle time of a pooled connection that may be used
    CallerIdentity caller{};
};

/** Result of an attempt. body is the whole answer body, or empty if the body was streamed. */
struct AttemptResult {
    AnswerClassification classification;
    MessageHead head;
    fleet::UpstreamSignals signals; ///< of the sender of the head, which may not be the upstream, see isOwnAnswer
    std::string body;
    Duration took{};
    bool newConnection = false;
    bool connectionLost = false; ///< the upstream closed or reset the connection before the end of the answer
};

/** Runs on one loop. Destroying an unfinished attempt closes its connection, which makes the upstream cancel the request. */
class Attempt
{
public:
    struct Hooks {
        std::function<void(const Attempt &)> onHead; ///< the head of the answer has arrived
        std::function<void(Attempt &)> onEnd; ///< result() is set; the attempt may be destroyed
        /** The answer exceeds the buffer limit. Returns true to stream it: the rest arrives through onBodyChunk. */
        std::function<bool(Attempt &)> onBufferFull;
        std::function<void(Attempt &, std::string_view)> onBodyChunk;
    };

    Attempt(ConnectionPool &pool, const UpstreamProtocol &protocol, fleet::UpstreamEntry upstream, Hooks hooks);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    void start(TimePoint now, const AttemptRequest &request);

    const fleet::UpstreamEntry &upstream() const;

    const AttemptResult &result() const;

    /** Time since start(). */
    Duration age(TimePoint now) const;

    /** True once the request was written to an open connection, so that the upstream may have run it. */
    bool mayHaveRun() const;

    /** Marks the attempt as reported overdue. True the first time. */
    bool markOverdue();

    /** Pauses or resumes reading the answer (back-pressure). */
    void pauseReading(bool paused);

private:
    void onHead(const MessageHead &head);
    void onComplete();
    void onFailure(ConnectionFailure failure);
    void onBody(std::string_view bytes);

    ConnectionPool &m_pool;
    const UpstreamProtocol &m_protocol;
    fleet::UpstreamEntry m_upstream;
    Hooks m_hooks;
    std::unique_ptr<OutboundConnection> m_connection;
    AttemptResult m_result;
    std::string m_requestId;
    TimePoint m_started{};
    bool m_streaming = false;
    bool m_rejected = false; ///< the answer is too large and cannot be streamed
    bool m_overdue = false;
};

/** Serialises a request for an upstream. */
std::string upstreamRequest(const AttemptRequest &request, const fleet::UpstreamEntry &upstream, const HeaderNames &names);

} // namespace jackdawdoor::proxy
