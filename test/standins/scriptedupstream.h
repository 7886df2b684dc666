/** Stand-in for an upstream that sends exactly the bytes that a test specifies. */
#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jackdawdoor::standins {

/** What the upstream sends for a request, and how it ends the connection. */
struct ScriptedReply {
    std::string bytes;
    bool closeAfter = false; ///< closes the connection in an orderly way (FIN)
    bool resetAfter = false; ///< resets the connection (RST)
    bool hang = false; ///< sends nothing and keeps the connection open
    Duration delay{};
    std::string rest = {}; ///< sent after restDelay
    Duration restDelay = {};
    std::string repeated = {}; ///< sent after the rest, again and again until the peer closes the connection
    Duration endDelay = {}; ///< before the connection is closed or reset
    Duration crashFor = {}; ///< resets all connections and refuses new ones for this long, like a process that ends and restarts
};

/** Request as received. */
struct ReceivedRequest {
    std::string head;
    std::string body;

    /** Value of a header, or an empty string. */
    std::string header(const std::string &name) const;
};

/** Serves each connection on its own thread with blocking sockets. */
class ScriptedUpstream
{
public:
    /** Called for each request; calls may come from different threads but do not overlap. */
    using Script = std::function<ScriptedReply(const ReceivedRequest &)>;

    /** When the upstream answers a request. */
    enum class Answers {
        AfterBody,
        AfterHead, ///< without reading the body; the script sees none
    };

    explicit ScriptedUpstream(Script script, Answers answers = Answers::AfterBody);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    /** "127.0.0.1:port" */
    std::string address() const;

    /** Requests received so far. */
    std::vector<ReceivedRequest> requests();

    /** Number of connections that the peer closed while a hanging request was pending. */
    int abandoned() const;

    /** Bytes of repeated parts sent so far. */
    std::uint64_t repeatedBytes() const;

    /** Number of connections with a repeated part that the peer has closed. */
    int repeatedEnds() const;

    /** Signed answer to the request, as a healthy upstream sends it. */
    static std::string answerTo(const ReceivedRequest &request, int status, const std::string &body);

private:
    void openListener();
    void acceptAll();
    void serve(int socket);
    bool crashed() const;

    Script m_script;
    Answers m_answers;
    std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_abandoned{0};
    std::atomic<std::uint64_t> m_repeatedBytes{0};
    std::atomic<int> m_repeatedEnds{0};
    std::atomic<int> m_crashes{0};
    std::atomic<TimePoint::rep> m_downUntil{0}; ///< end of the latest crash
    std::atomic<int> m_listener{-1}; ///< -1 while crashed
    int m_port = 0; ///< zero until the first listener is open
    std::thread m_acceptor;
};

} // namespace jackdawdoor::standins
