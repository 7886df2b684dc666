/** One attempt of a request at one upstream, from the choice of a connection to the complete answer. */
#pragma once

#include "fleet/upstreamentry.h"
#include "proxy/connectionpool.h"
#include "proxy/headernames.h"
#include "proxy/proxyanswer.h"

#include <functional>
#include <memory>
#include <string>

namespace jackdawdoor::proxy {

/** What is sent. */
struct AttemptRequest {
    const MessageHead *head = nullptr;
    const std::string *body = nullptr;
    std::string requestId;
    Duration deadline{}; ///< that the upstream is told
    Duration maximumIdle{}; ///< of a connection that may be used again
};

/** Result of an attempt; the answer is complete unless its body was passed on in pieces. */
struct AttemptResult {
    AnswerClassification classification;
    MessageHead head;
    std::string body;
    Duration took{};
    bool newConnection = false;
};

/** Runs on one loop. Destruction closes the connection, which makes the upstream drop the request. */
class Attempt
{
public:
    struct Hooks {
        std::function<void(Attempt &)> onEnd; ///< result() is set; the attempt may be destroyed
        /** The answer has grown beyond what is kept. True: it has been taken over and the rest comes through onBodyChunk. */
        std::function<bool(Attempt &)> onBufferFull;
        std::function<void(Attempt &, std::string_view)> onBodyChunk;
    };

    Attempt(ConnectionPool &pool, const HeaderNames &names, fleet::UpstreamEntry upstream, Hooks hooks);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    void start(TimePoint now, const AttemptRequest &request);

    const fleet::UpstreamEntry &upstream() const;

    const AttemptResult &result() const;

    /** Time since the start. */
    Duration age(TimePoint now) const;

    /** True once the request has left on an open connection, so that it may have run. */
    bool mayHaveRun() const;

    /** Remembers that a long run has been reported. True the first time. */
    bool markOverdue();

    /** Stops or continues reading the answer. */
    void pauseReading(bool paused);

private:
    void onComplete();
    void onFailure(ConnectionFailure failure);
    void onBody(std::string_view bytes);

    ConnectionPool &m_pool;
    const HeaderNames &m_names;
    fleet::UpstreamEntry m_upstream;
    Hooks m_hooks;
    std::unique_ptr<OutboundConnection> m_connection;
    AttemptResult m_result;
    std::string m_requestId;
    TimePoint m_started{};
    bool m_streaming = false;
    bool m_overdue = false;
};

/** The bytes of a request for an upstream. */
std::string upstreamRequest(const AttemptRequest &request, const fleet::UpstreamEntry &upstream, const HeaderNames &names);

} // namespace jackdawdoor::proxy
