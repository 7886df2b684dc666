/** Client side of a connection between instances: handshake, control messages, forwarded requests. */
#pragma once

#include "core/callerrequest.h"
#include "net/answerpipe.h"
#include "net/eventloop.h"
#include "net/fleetauthentication.h"
#include "net/http2connection.h"
#include "net/peerwire.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::net {

/** Identity and key of this instance for its peers, and the limits on what they may send. */
struct PeerIdentity {
    InstanceRef self;
    std::string fleetKey;
    PeerLimits limits;

    bool operator==(const PeerIdentity &) const = default;
};

/** A request to forward to another instance. */
struct ForwardOrder {
    core::RequestId request = 0;
    InstanceRef to; ///< incarnation 0: whichever is running
    std::string content; ///< encoded request
    std::shared_ptr<AnswerPipe> pipe;
};

/** Link to one peer address. Connects on demand and reconnects after a loss. */
class PeerLink
{
public:
    /** A forwarded request got no answer; nothingSent: the peer certainly did not receive it. */
    using ForwardFailed = std::function<void(core::RequestId request, bool nothingSent)>;

    PeerLink(EventLoop &loop, const PeerIdentity &identity, settings::Endpoint endpoint, ForwardFailed onForwardFailed);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Queues a message; the oldest ones are dropped when the queue is full. */
    void send(const InstanceRef &to, std::string message);

    /** Sends a request; its answer goes into the pipe. */
    void forward(ForwardOrder order);

    /** Cancels a forwarded request whose caller has disconnected. */
    void cancel(core::RequestId request);

    /** Closes a failed connection, pings a silent one and reconnects when something is queued. */
    void check(TimePoint now);

    /** True when the handshake of the current connection is complete. */
    bool established() const;

    /** True when nothing is queued and no answer is outstanding. */
    bool delivered() const;

    /** True when the link has been idle for long enough to be removed. */
    bool disposable(TimePoint now) const;

private:
    enum class State {
        Closed,
        Greeting,
        Proving,
        Established,
    };
    enum class StreamKind {
        Hello,
        Proof,
        Message,
        Forward,
    };
    struct Stream {
        StreamKind kind = StreamKind::Message;
        std::string status;
        std::string body; ///< received body of a handshake answer
    };
    struct Forward {
        ForwardOrder order;
        AnswerStartReader reader;
        bool started = false;
        bool ended = false;
        std::size_t unconsumed = 0;
    };

    void open();
    void sendHello();
    void onData(std::int32_t stream, std::string_view bytes);
    void onEnd(std::int32_t stream);
    void onStreamClosed(std::int32_t stream, bool clean);
    void onGreeting(const std::string &bytes);
    void onForwardData(std::int32_t stream, std::string_view bytes);
    void writeForward(std::int32_t stream, Forward &forward, std::string_view bytes);
    void onRoom(std::int32_t stream);
    void endForward(std::int32_t stream, bool complete);
    void sendWaiting();
    void sendForward(ForwardOrder order);
    std::int32_t openStream(StreamKind kind, const std::string &path, std::string body);
    void close(const std::string &reason);

    EventLoop &m_loop;
    const PeerIdentity &m_identity;
    settings::Endpoint m_endpoint;
    ForwardFailed m_onForwardFailed;
    State m_state = State::Closed;
    std::unique_ptr<Http2Connection> m_connection;
    Handshake m_handshake;
    std::map<std::int32_t, Stream> m_streams;
    std::map<std::int32_t, Forward> m_forwards;
    std::deque<std::pair<InstanceRef, std::string>> m_messages;
    std::deque<ForwardOrder> m_waitingForwards;
    std::size_t m_messageBytes = 0;
    TimePoint m_openedAt{};
    TimePoint m_lastUse{};
    TimePoint m_retryAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
