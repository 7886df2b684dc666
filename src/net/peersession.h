/** Server side of a connection between instances. */
#pragma once

#include "net/answerpipe.h"
#include "net/eventloop.h"
#include "net/http2connection.h"
#include "net/peerlink.h"
#include "net/peerwire.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::net {

/** Event handlers of a session. None is called, except closed, before the peer has proved that it knows the fleet key. */
struct PeerSessionEvents {
    std::function<void(const InstanceRef &from, std::string message)> message;
    std::function<void(std::int32_t stream, RequestContent request)> request;
    std::function<void(std::int32_t stream, bool complete)> answerEnded; ///< the answer was sent, or its receiver has cancelled it
    std::function<void()> closed;
};

/** Serves one connection that another instance opened to this one. */
class PeerSession
{
public:
    PeerSession(EventLoop &loop, const PeerIdentity &identity, int socket, PeerSessionEvents events);
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /** Answers a forwarded request. */
    void answer(std::int32_t stream, const std::shared_ptr<AnswerPipe> &pipe);

    /** True when no answer or unsent byte is left in this process. */
    bool sent() const;

    /** Closes the connection when the handshake has timed out or nothing was received for too long. */
    void check(TimePoint now);

private:
    struct Inbound {
        std::string path;
        std::string body;
        std::shared_ptr<AnswerPipe> pipe;
        bool forwarded = false;
    };

    void onData(std::int32_t stream, std::string_view bytes);
    void onEnd(std::int32_t stream);
    void onStreamClosed(std::int32_t stream, bool clean);
    void onHello(std::int32_t stream, const std::string &body);
    void onProof(std::int32_t stream, const std::string &body);
    std::size_t maximumBody(const std::string &path) const;

    EventLoop &m_loop;
    const PeerIdentity &m_identity;
    PeerSessionEvents m_events;
    Handshake m_handshake;
    bool m_greeted = false;
    bool m_authenticated = false;
    TimePoint m_openedAt;
    std::map<std::int32_t, Inbound> m_streams;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Http2Connection m_connection; // last: its constructor already sends
};

} // namespace jackdawdoor::net
