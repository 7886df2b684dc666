#include "net/peersession.h"

#include "telemetry/log.h"

namespace jackdawdoor::net {

namespace {

constexpr Duration maximumHandshakeTime = std::chrono::seconds{2};
// The opener closes an idle connection after 60 s; this limit removes connections whose opener failed.
constexpr Duration maximumSilence = std::chrono::seconds{120};
constexpr int accepted = 204;

} // namespace

PeerSession::PeerSession(EventLoop &loop, const PeerIdentity &identity, int socket, PeerSessionEvents events)
    : m_loop(loop)
    , m_identity(identity)
    , m_events(std::move(events))
    , m_openedAt(now())
    , m_connection(loop,
                   socket,
                   Http2Events{{},
                               [this](std::int32_t stream, const std::string &path) {
                                   m_streams[stream].path = path;
                               },
                               [this](std::int32_t stream, std::string_view bytes) {
                                   onData(stream, bytes);
                               },
                               [this](std::int32_t stream) {
                                   onEnd(stream);
                               },
                               [this](std::int32_t stream, bool clean) {
                                   onStreamClosed(stream, clean);
                               },
                               [this](const std::string &reason) {
                                   telemetry::writeLog(telemetry::LogLevel::Debug, "peer session", reason);
                                   // The owner destroys this session in its handler.
                                   const auto closed = m_events.closed;
                                   closed();
                               }})
{
}

PeerSession::~PeerSession()
{
    *m_alive = false;
    for (auto &entry : m_streams) {
        if (entry.second.pipe) {
            entry.second.pipe->closeConsumer();
        }
        if (entry.second.forwarded) {
            m_events.answerEnded(entry.first, false);
        }
    }
}

std::size_t PeerSession::maximumBody(const std::string &path) const
{
    if (!m_authenticated) {
        return path == "/hello" || path == "/proof" ? m_identity.limits.handshakeBytes : 0;
    }
    if (path == "/message") {
        return m_identity.limits.messageBytes;
    }
    return path == "/forward" ? m_identity.limits.requestBytes : 0;
}

void PeerSession::onData(std::int32_t stream, std::string_view bytes)
{
    Inbound &inbound = m_streams[stream];
    if (inbound.body.size() + bytes.size() > maximumBody(inbound.path)) {
        m_connection.fail("a message exceeds the size limit or arrived before the proof of the fleet key");
        return;
    }
    inbound.body += bytes;
    m_connection.consume(stream, bytes.size());
}

void PeerSession::onEnd(std::int32_t stream)
{
    Inbound &inbound = m_streams[stream];
    const std::string body = std::move(inbound.body);
    if (inbound.path == "/hello" && !m_greeted) {
        onHello(stream, body);
    } else if (inbound.path == "/proof" && m_greeted && !m_authenticated) {
        onProof(stream, body);
    } else if (inbound.path == "/message" && m_authenticated) {
        m_connection.respond(stream, accepted, Http2Connection::fixed({}));
        m_events.message(m_handshake.opener, body);
    } else if (inbound.path == "/forward" && m_authenticated) {
        auto request = decodeRequest(body);
        if (!request) {
            m_connection.cancel(stream);
            return;
        }
        inbound.forwarded = true;
        m_events.request(stream, std::move(*request));
    } else {
        m_connection.fail("the request is not allowed in the current handshake state");
    }
}

void PeerSession::onHello(std::int32_t stream, const std::string &body)
{
    const auto greeting = decodeGreeting(body);
    if (!greeting) {
        m_connection.fail("the peer's greeting is malformed");
        return;
    }
    m_greeted = true;
    m_handshake = {greeting->instance, m_identity.self, greeting->nonce, randomNonce()};
    const std::string proof = handshakeProof(m_identity.fleetKey, PeerRole::Listener, m_handshake);
    const Greeting answer{m_identity.self, m_handshake.listenerNonce, proof};
    m_connection.respond(stream, 200, Http2Connection::fixed(encodeGreeting(answer)));
}

void PeerSession::onProof(std::int32_t stream, const std::string &body)
{
    if (!equalSecrets(body, handshakeProof(m_identity.fleetKey, PeerRole::Opener, m_handshake))) {
        telemetry::writeLog(telemetry::LogLevel::Warning,
                            "peer session",
                            "rejected an instance that failed to prove knowledge of the fleet key",
                            {{"instance", m_handshake.opener.id.value}});
        m_connection.fail("the peer failed to prove knowledge of the fleet key");
        return;
    }
    m_authenticated = true;
    m_connection.respond(stream, accepted, Http2Connection::fixed({}));
}

void PeerSession::answer(std::int32_t stream, const std::shared_ptr<AnswerPipe> &pipe)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.pipe) {
        pipe->closeConsumer();
        return;
    }
    found->second.pipe = pipe;
    m_connection.respond(stream, 200, [pipe, headSent = false]() mutable {
        const auto head = pipe->head();
        if (!head) {
            return AnswerPipe::Chunk{{}, pipe->take().state};
        }
        AnswerPipe::Chunk taken = pipe->take();
        if (!headSent) {
            headSent = true;
            taken.bytes.insert(0, encodeAnswerStart(*head));
        }
        return taken;
    });
    pipe->setConsumerHook([this, stream, alive = m_alive, mailbox = m_loop.mailbox()] {
        mailbox->post([this, stream, alive] {
            if (*alive) {
                m_connection.resume(stream);
            }
        });
    });
}

void PeerSession::onStreamClosed(std::int32_t stream, bool clean)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const Inbound inbound = std::move(found->second);
    m_streams.erase(found);
    if (inbound.pipe) {
        inbound.pipe->closeConsumer();
    }
    if (inbound.forwarded) {
        m_events.answerEnded(stream, clean);
    }
}

bool PeerSession::sent() const
{
    return m_streams.empty() && m_connection.unsent() == 0;
}

void PeerSession::check(TimePoint now)
{
    if (!m_authenticated && now - m_openedAt > maximumHandshakeTime) {
        m_connection.fail("the handshake timed out");
    } else if (m_streams.empty() && m_connection.silence(now) > maximumSilence) {
        m_connection.fail("the connection was idle for too long");
    }
}

} // namespace jackdawdoor::net
