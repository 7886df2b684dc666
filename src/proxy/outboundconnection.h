/** One connection to an upstream, carrying one request at a time.
 *
 * An answer that names another request than the one that is waiting is a late extra answer to an earlier one and is
 * dropped. Bytes that arrive while no request is waiting end the connection.
 */
#pragma once

#include "net/eventloop.h"
#include "proxy/messageparser.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace jackdawdoor::proxy {

/** A path that loses three packets in ten loses several probes in a row now and then; what is on its way still arrives. */
constexpr std::chrono::seconds upstreamPeerTimeout{8};

/** How a request on a connection failed. */
enum class ConnectionFailure {
    NotConnected, ///< the connection was never open: nothing was sent
    ConnectTimeout, ///< likewise, without an answer to the opening packet
    Reset, ///< closed or reset before the end of the answer
    Malformed, ///< bytes that are no answer
};

/** Name for log lines, such as "reset". */
const char *failureName(ConnectionFailure failure);

/** What the user of a connection is told. No hook is called from within send(). */
struct OutboundConnectionHooks {
    std::function<void(const MessageHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete; ///< the link may be used again if reusable()
    std::function<void(ConnectionFailure)> onFailure; ///< the link is closed
};

/** Connection that is opened with the first request. Destruction closes it at once. */
class OutboundConnection
{
public:
    /** requestIdHeader: name of the header by which an answer names its request. silence: of the other side, that ends the
     * connection. */
    OutboundConnection(net::EventLoop &loop,
                       const settings::Endpoint &address,
                       std::string requestIdHeader,
                       std::chrono::seconds peerTimeout = upstreamPeerTimeout);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** Sends a request. bytes: its head and body. */
    void send(std::string_view bytes, const std::string &requestId, bool headRequest, OutboundConnectionHooks hooks);

    /** The hook is called when an idle connection is closed by the other side or receives bytes. */
    void setIdleHook(std::function<void()> onEnd);

    /** The answer is complete, the whole request was sent, and neither side is closing. */
    bool reusable() const;

    /** The connection is open, so that the request may have begun to leave this process. */
    bool connected() const;

    /** Stops or continues reading, so that an answer does not pile up in memory. */
    void pauseReading(bool paused);

    /** Time of the last complete answer; the epoch before the first. */
    TimePoint lastAnswer() const;

    /** How long an idle connection may be kept, from the upstream's own statement. */
    Duration idleLimit() const;

private:
    static void onRead(bufferevent *bufferedSocket, void *self);
    static void onEvent(bufferevent *bufferedSocket, short what, void *self);
    void open();
    void readInput();
    void handleHead(MessageHead &&head);
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
    std::string m_unsent; ///< request that waits for the connection to open
    MessageHead m_answer;
    TimePoint m_lastAnswer{};
    Duration m_idleLimit;
    bool m_connected = false;
    bool m_busy = false;
    bool m_skipping = false; ///< the present answer belongs to another request
    bool m_closing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** Sets a socket up so that a silent other side is noticed after the limit, in whole seconds: keep-alive probes each second
 * and a bound on unacknowledged bytes. */
void setPeerTimeout(int socket, std::chrono::seconds timeout);

} // namespace jackdawdoor::proxy
