/** Connection that another instance opened to this one. */
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

/** What a session hands to its owner. Nothing comes before the other side has proved that it knows the fleet key. */
struct PeerSessionEvents {
    std::function<void(const InstanceRef &from, std::string message)> message;
    std::function<void(std::int32_t stream, RequestContent request)> request;
    std::function<void(std::int32_t stream, bool complete)> answerEnded; ///< the answer was sent, or its receiver has gone
    std::function<void()> closed;
};

/** Listener's side of a connection between instances. */
class PeerSession
{
public:
    PeerSession(EventLoop &loop, const PeerIdentity &identity, int socket, PeerSessionEvents events);
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /** Answers a forwarded request. */
    void answer(std::int32_t stream, const std::shared_ptr<AnswerPipe> &pipe);

    /** All that was to be sent has left this process. */
    bool sent() const;

    /** Ends connections that did not prove themselves in time or were silent for too long. */
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
    bool m_proved = false;
    TimePoint m_openedAt;
    std::map<std::int32_t, Inbound> m_streams;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Http2Connection m_connection; // last: its construction already sends
};

} // namespace jackdawdoor::net
