/** Stand-in for an upstream on the users' platform that sends exactly the bytes a test asks for. */
#pragma once

#include "base/time.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jackdawdoor::standins {

/** What the upstream sends for a request, and then. */
struct ScriptedReply {
    std::string bytes;
    bool closeAfter = false; ///< orderly
    bool resetAfter = false;
    bool hang = false; ///< sends nothing and keeps the connection
    Duration delay{};
    std::string rest = {}; ///< sent after restDelay
    Duration restDelay = {};
};

/** A request as it arrived. */
struct ReceivedRequest {
    std::string head;
    std::string body;

    /** Value of a header, or an empty string. */
    std::string header(const std::string &name) const;
};

/** Serves each connection on a thread of its own with blocking sockets. */
class ScriptedUpstream
{
public:
    /** Called for each request, from any thread, one at a time. */
    using Script = std::function<ScriptedReply(const ReceivedRequest &)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    /** "127.0.0.1:port" */
    std::string address() const;

    /** Requests received so far. */
    std::vector<ReceivedRequest> requests();

    /** Connections that the other side closed while their request was being answered. */
    int abandoned() const;

    /** A signed answer to the request, as a healthy upstream gives it. */
    static std::string answerTo(const ReceivedRequest &request, int status, const std::string &body);

private:
    void acceptAll();
    void serve(int socket);

    Script m_script;
    std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_abandoned{0};
    int m_listener = -1;
    int m_port = 0;
    std::thread m_acceptor;
};

} // namespace jackdawdoor::standins
