#include "net/peerlink.h"

#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::net {

namespace {

constexpr std::size_t maximumWaitingMessages = 256;
constexpr std::size_t maximumWaitingBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t maximumUnansweredStreams = 128;
// A handshake takes three round trips of at most about 100 ms each between regions.
constexpr Duration maximumHandshakeTime = std::chrono::seconds{2};
// The HTTP/2 library answers pings without the core, so only a lost connection or a failed process stays silent this long.
constexpr Duration pingAfterSilence = std::chrono::seconds{1};
constexpr Duration deadAfterSilence = std::chrono::seconds{3};
constexpr Duration idleTime = std::chrono::seconds{60};
constexpr Duration reopenDelay = std::chrono::milliseconds{200};

bool addressed(const InstanceRef &to, const InstanceRef &running)
{
    return to.id == running.id && (to.incarnation == 0 || to.incarnation == running.incarnation);
}

} // namespace

PeerLink::PeerLink(EventLoop &loop, const PeerIdentity &identity, settings::Endpoint endpoint, ForwardFailed onForwardFailed)
    : m_loop(loop)
    , m_identity(identity)
    , m_endpoint(std::move(endpoint))
    , m_onForwardFailed(std::move(onForwardFailed))
    , m_lastUse(now())
{
}

PeerLink::~PeerLink()
{
    *m_alive = false;
    for (auto &entry : m_forwards) {
        entry.second.order.pipe->setProducerHook(nullptr);
        entry.second.order.pipe->finish(AnswerPipe::State::Broken);
    }
}

void PeerLink::send(const InstanceRef &to, std::string message)
{
    if (message.size() > m_identity.limits.messageBytes) {
        telemetry::writeLog(telemetry::LogLevel::Error, "send peer message", "dropped a message that exceeds the size limit");
        return;
    }
    m_messageBytes += message.size();
    m_messages.emplace_back(to, std::move(message));
    while (m_messages.size() > maximumWaitingMessages || m_messageBytes > maximumWaitingBytes) {
        m_messageBytes -= m_messages.front().second.size();
        m_messages.pop_front();
    }
    sendWaiting();
}

void PeerLink::forward(ForwardOrder order)
{
    m_waitingForwards.push_back(std::move(order));
    sendWaiting();
}

void PeerLink::cancel(core::RequestId request)
{
    std::erase_if(m_waitingForwards, [&](const ForwardOrder &order) {
        return order.request == request;
    });
    for (const auto &entry : m_forwards) {
        if (entry.second.order.request == request) {
            m_connection->cancel(entry.first);
            return;
        }
    }
}

bool PeerLink::established() const
{
    return m_state == State::Established;
}

bool PeerLink::delivered() const
{
    return m_streams.empty() && m_messages.empty() && m_waitingForwards.empty();
}

bool PeerLink::disposable(TimePoint now) const
{
    return delivered() && now - m_lastUse > idleTime;
}

void PeerLink::check(TimePoint now)
{
    if (m_state == State::Closed) {
        sendWaiting();
        return;
    }
    const bool opening = m_state != State::Established;
    if (opening && now - m_openedAt > maximumHandshakeTime) {
        close("the handshake timed out");
        return;
    }
    if (opening || m_streams.empty()) {
        return;
    }
    const Duration silence = m_connection->silence(now);
    if (silence > deadAfterSilence) {
        close("the peer stopped responding");
    } else if (silence > pingAfterSilence) {
        m_connection->ping();
    }
}

void PeerLink::open()
{
    m_state = State::Greeting;
    m_openedAt = now();
    Http2Events events;
    events.opened = [this] {
        sendHello();
    };
    events.head = [this](std::int32_t stream, const std::string &status) {
        m_streams[stream].status = status;
    };
    events.data = [this](std::int32_t stream, std::string_view bytes) {
        onData(stream, bytes);
    };
    events.end = [this](std::int32_t stream) {
        onEnd(stream);
    };
    events.streamClosed = [this](std::int32_t stream, bool clean) {
        onStreamClosed(stream, clean);
    };
    events.closed = [this](const std::string &reason) {
        close(reason);
    };
    m_connection = std::make_unique<Http2Connection>(m_loop, m_endpoint, std::move(events));
}

void PeerLink::sendHello()
{
    m_handshake = {};
    m_handshake.opener = m_identity.self;
    m_handshake.openerNonce = randomNonce();
    const Greeting greeting{m_identity.self, m_handshake.openerNonce, {}};
    openStream(StreamKind::Hello, "/hello", encodeGreeting(greeting));
}

void PeerLink::onData(std::int32_t stream, std::string_view bytes)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    if (found->second.kind == StreamKind::Forward) {
        onForwardData(stream, bytes);
        return;
    }
    found->second.body += bytes;
    if (found->second.body.size() > m_identity.limits.handshakeBytes) {
        m_connection->fail("a handshake answer exceeds the size limit");
        return;
    }
    m_connection->consume(stream, bytes.size());
}

void PeerLink::onEnd(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const Stream &ended = found->second;
    if (ended.kind == StreamKind::Hello) {
        onGreeting(ended.body);
    } else if (ended.kind == StreamKind::Proof) {
        if (ended.status != "204") {
            m_connection->fail("the peer rejected this instance's proof of the fleet key");
            return;
        }
        m_state = State::Established;
        m_loop.post([this, alive = m_alive] {
            if (*alive) {
                sendWaiting();
            }
        });
    } else if (ended.kind == StreamKind::Forward) {
        const auto forward = m_forwards.find(stream);
        if (forward != m_forwards.end()) {
            forward->second.ended = true;
        }
    }
}

void PeerLink::onGreeting(const std::string &bytes)
{
    const auto greeting = decodeGreeting(bytes);
    if (!greeting) {
        m_connection->fail("the peer's greeting is malformed");
        return;
    }
    m_handshake.listener = greeting->instance;
    m_handshake.listenerNonce = greeting->nonce;
    if (!equalSecrets(greeting->proof, handshakeProof(m_identity.fleetKey, PeerRole::Listener, m_handshake))) {
        m_connection->fail("the peer failed to prove knowledge of the fleet key");
        return;
    }
    m_state = State::Proving;
    const std::string proof = handshakeProof(m_identity.fleetKey, PeerRole::Opener, m_handshake);
    openStream(StreamKind::Proof, "/proof", proof);
}

void PeerLink::sendWaiting()
{
    if (m_state == State::Closed && (!m_messages.empty() || !m_waitingForwards.empty()) && now() >= m_retryAt) {
        open();
    }
    if (m_state != State::Established) {
        return;
    }
    m_lastUse = now();
    while (!m_waitingForwards.empty()) {
        ForwardOrder order = std::move(m_waitingForwards.front());
        m_waitingForwards.pop_front();
        sendForward(std::move(order));
    }
    while (!m_messages.empty() && m_streams.size() < maximumUnansweredStreams) {
        auto [to, message] = std::move(m_messages.front());
        m_messages.pop_front();
        m_messageBytes -= message.size();
        // A message to an earlier incarnation must not reach the current one.
        if (addressed(to, m_handshake.listener)) {
            openStream(StreamKind::Message, "/message", std::move(message));
        }
    }
}

std::int32_t PeerLink::openStream(StreamKind kind, const std::string &path, std::string body)
{
    const std::int32_t stream = m_connection->request(path, Http2Connection::fixed(std::move(body)));
    if (stream < 0) {
        m_connection->fail("the connection has exhausted its stream identifiers");
    } else {
        m_streams[stream].kind = kind;
    }
    return stream;
}

void PeerLink::onStreamClosed(std::int32_t stream, bool clean)
{
    const bool handshake = m_state != State::Established;
    m_streams.erase(stream);
    if (m_forwards.contains(stream)) {
        endForward(stream, clean && m_forwards.at(stream).ended);
    }
    if (handshake && !clean) {
        m_connection->fail("the peer rejected the handshake");
        return;
    }
    if (!m_messages.empty()) {
        m_loop.post([this, alive = m_alive] {
            if (*alive) {
                sendWaiting();
            }
        });
    }
}

void PeerLink::close(const std::string &reason)
{
    telemetry::writeLog(telemetry::LogLevel::Debug, "peer connection", reason, {{"peer", m_endpoint.text()}});
    m_state = State::Closed;
    m_retryAt = now() + reopenDelay;
    m_connection.reset();
    m_streams.clear();
    m_messages.clear();
    m_messageBytes = 0;
    for (const ForwardOrder &order : std::exchange(m_waitingForwards, {})) {
        m_onForwardFailed(order.request, true);
    }
    while (!m_forwards.empty()) {
        endForward(m_forwards.begin()->first, false);
    }
}

} // namespace jackdawdoor::net
