/** Client side of an HTTP/1.1 connection to an upstream or to the store, carrying one request at a time.
 *
 * An answer whose request id differs from that of the pending request is a surplus answer to an earlier one and is dropped.
 * Bytes that arrive while no request is pending close the connection.
 */
#pragma once

#include "net/eventloop.h"
#include "proxy/body.h"
#include "proxy/messageparser.h"
#include "settings/settings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace jackdawdoor::proxy {

/** Peer timeout of connections to upstreams. At 30 % packet loss several keep-alive probes in a row get lost although the
 * connection still works, so the timeout spans eight probes. */
constexpr std::chrono::seconds upstreamPeerTimeout{8};

/** A connection opens in about 1 ms within a data centre; a lost SYN is retransmitted only after one second. */
constexpr Duration connectTimeout = std::chrono::milliseconds{250};

/** Limits of what is read before the answer to the pending request: surplus answers to earlier requests, and interim ones. */
constexpr std::size_t maximumSkippedBytes = std::size_t{4} * 1024 * 1024;
constexpr int maximumSkippedAnswers = 16;

/** How a request on a connection failed. */
enum class ConnectionFailure {
    NotConnected, ///< the connection was refused or failed to open; nothing was sent
    ConnectTimeout, ///< the connection did not open in time; nothing was sent
    Reset, ///< closed or reset before the end of the answer
    Malformed, ///< the bytes are not a valid HTTP answer, or exceed a limit
};

/** Name for log lines, such as "reset". */
const char *failureName(ConnectionFailure failure);

/** Callbacks of a request. None is called from within send(). */
struct OutboundConnectionHooks {
    std::function<void(const MessageHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete; ///< the connection may be reused if reusable()
    std::function<void(ConnectionFailure)> onFailure; ///< the connection is closed
};

/** Connection that opens with the first request and closes on destruction. */
class OutboundConnection
{
public:
    /** requestIdHeader: header in which an answer repeats the id of its request. peerTimeout: the connection ends after this
     * time without a sign of life from the peer. */
    OutboundConnection(net::EventLoop &loop,
                       const settings::Endpoint &address,
                       std::string requestIdHeader,
                       std::chrono::seconds peerTimeout = upstreamPeerTimeout);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** Sends a request. bytes: its head, and its body if that is small. body: the rest, which is sent by reference. */
    void
    send(std::string_view bytes, const std::string &requestId, bool headRequest, OutboundConnectionHooks hooks, const Body &body = Body());

    /** The hook is called when the peer closes the idle connection or sends unexpected bytes. */
    void setIdleHook(std::function<void()> onEnd);

    /** True when the answer is complete, the whole request was sent, and neither side is closing. */
    bool reusable() const;

    /** True when the connection is open, so that part of the request may have been sent. */
    bool connected() const;

    /** Ends the pending request as Malformed, since its answer is too large to be used. May be called from a hook. */
    void rejectAnswer();

    /** Pauses or resumes reading, so that a large answer does not accumulate in memory. */
    void pauseReading(bool paused);

    /** Time of the last complete answer; the epoch before the first. */
    TimePoint lastAnswer() const;

    /** How long the idle connection may be kept, from the upstream's Keep-Alive header or the default. */
    Duration idleLimit() const;

private:
    static void onRead(bufferevent *bufferedSocket, void *self);
    static void onEvent(bufferevent *bufferedSocket, short what, void *self);
    void open();
    void write(std::string_view bytes, const Body &body);
    void readInput();
    void handleHead(MessageHead &&head);
    void handleBody(std::string_view bytes);
    void handleComplete();
    void fail(ConnectionFailure failure);
    void endIdle();

    net::EventLoop &m_loop;
    settings::Endpoint m_address;
    std::string m_requestIdHeader;
    std::chrono::seconds m_peerTimeout;
    MessageParser m_parser;
    net::Timer m_connectTimer;
    bufferevent *m_socket = nullptr;
    OutboundConnectionHooks m_hooks;
    std::function<void()> m_onIdleEnd;
    std::string m_requestId;
    std::string m_unsent; ///< head of the request, until the connection is open
    Body m_unsentBody; ///< body of the request, until the connection is open
    MessageHead m_answer;
    TimePoint m_lastAnswer{};
    Duration m_idleLimit;
    bool m_connected = false;
    bool m_busy = false;
    bool m_skipping = false; ///< the current answer is interim (1xx) or belongs to another request
    std::size_t m_skippedBytes = 0; ///< of surplus answers since the request was sent
    int m_skippedAnswers = 0; ///< surplus and interim ones since the request was sent
    bool m_closing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::proxy
