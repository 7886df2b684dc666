#include "proxy/outboundconnection.h"

#include "net/peertimeout.h"
#include "net/socketaddress.h"
#include "proxy/keepalive.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Idle time after which a connection is closed if the upstream states no Keep-Alive timeout. */
constexpr Duration defaultIdleLimit = std::chrono::seconds{8};

} // namespace

const char *failureName(ConnectionFailure failure)
{
    switch (failure) {
    case ConnectionFailure::NotConnected:
        return "not-connected";
    case ConnectionFailure::ConnectTimeout:
        return "connect-timeout";
    case ConnectionFailure::Reset:
        return "reset";
    case ConnectionFailure::Malformed:
        return "malformed";
    }
    return "reset";
}

OutboundConnection::OutboundConnection(net::EventLoop &loop,
                                       const settings::Endpoint &address,
                                       std::string requestIdHeader,
                                       std::chrono::seconds peerTimeout)
    : m_loop(loop)
    , m_address(address)
    , m_requestIdHeader(std::move(requestIdHeader))
    , m_peerTimeout(peerTimeout)
    , m_parser(MessageParser::Kind::Answer,
               {[this](MessageHead &&head) {
                    handleHead(std::move(head));
                },
                [this](std::string_view bytes) {
                    handleBody(bytes);
                },
                [this] {
                    handleComplete();
                }})
    , m_connectTimer(loop,
                     [this] {
                         fail(ConnectionFailure::ConnectTimeout);
                     })
    , m_idleLimit(defaultIdleLimit)
{
}

OutboundConnection::~OutboundConnection()
{
    *m_alive = false;
    if (m_socket != nullptr) {
        bufferevent_free(m_socket);
    }
}

void OutboundConnection::open()
{
    m_socket = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_socket, &OutboundConnection::onRead, nullptr, &OutboundConnection::onEvent, this);
    sockaddr_storage address{};
    const socklen_t length = net::toSocketAddress(m_address, address);
    m_connectTimer.set(connectTimeout);
    // An immediate failure is reported through the deferred event callback.
    static_cast<void>(bufferevent_socket_connect(m_socket, reinterpret_cast<sockaddr *>(&address), static_cast<int>(length)));
    if (bufferevent_getfd(m_socket) >= 0) {
        net::setPeerTimeout(bufferevent_getfd(m_socket), m_peerTimeout);
    }
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
}

void OutboundConnection::send(std::string_view bytes,
                              const std::string &requestId,
                              bool headRequest,
                              OutboundConnectionHooks hooks,
                              const Body &body)
{
    m_hooks = std::move(hooks);
    m_requestId = requestId;
    m_busy = true;
    m_skippedBytes = 0;
    m_skippedAnswers = 0;
    m_onIdleEnd = {};
    m_parser.expectNoBody(headRequest);
    if (m_connected) {
        pauseReading(false); // the previous answer may have ended while reading was paused
        write(bytes, body);
        return;
    }
    // libevent would write the request as soon as the connection opens, before its connected event. A connect timeout in
    // between would then be reported as "nothing was sent".
    m_unsent = bytes;
    m_unsentBody = body;
    open();
}

void OutboundConnection::write(std::string_view bytes, const Body &body)
{
    bufferevent_write(m_socket, bytes.data(), bytes.size());
    body.writeTo(bufferevent_get_output(m_socket));
}

void OutboundConnection::setIdleHook(std::function<void()> onEnd)
{
    m_onIdleEnd = std::move(onEnd);
}

bool OutboundConnection::reusable() const
{
    return m_socket != nullptr && m_connected && !m_busy && !m_closing && !m_parser.failed()
           && evbuffer_get_length(bufferevent_get_output(m_socket)) == 0 && evbuffer_get_length(bufferevent_get_input(m_socket)) == 0;
}

bool OutboundConnection::connected() const
{
    return m_connected;
}

void OutboundConnection::pauseReading(bool paused)
{
    if (m_socket != nullptr) {
        if (paused) {
            bufferevent_disable(m_socket, EV_READ);
        } else {
            bufferevent_enable(m_socket, EV_READ);
        }
    }
}

TimePoint OutboundConnection::lastAnswer() const
{
    return m_lastAnswer;
}

Duration OutboundConnection::idleLimit() const
{
    return m_idleLimit;
}

void OutboundConnection::onRead(bufferevent * /*bufferedSocket*/, void *self)
{
    static_cast<OutboundConnection *>(self)->readInput();
}

void OutboundConnection::readInput()
{
    if (!m_busy) {
        endIdle();
        return;
    }
    // The hooks may destroy this object.
    const std::shared_ptr<bool> alive = m_alive;
    evbuffer *input = bufferevent_get_input(m_socket);
    while (*alive && m_busy && evbuffer_get_length(input) > 0) {
        const std::size_t length = evbuffer_get_contiguous_space(input);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
        const std::string block(bytes, length);
        const std::size_t used = m_parser.feed(block);
        if (!*alive) {
            return;
        }
        if (m_parser.failed()) {
            fail(ConnectionFailure::Malformed);
            return;
        }
        evbuffer_drain(input, used);
    }
}

void OutboundConnection::handleHead(MessageHead &&head)
{
    constexpr int firstFinalStatus = 200;
    const std::string id = net::findHeader(head.headers, m_requestIdHeader);
    const bool other = !id.empty() && !m_requestId.empty() && id != m_requestId;
    m_skipping = other || head.status < firstFinalStatus;
    if (m_skipping) {
        if (++m_skippedAnswers > maximumSkippedAnswers) {
            rejectAnswer();
        }
        return;
    }
    m_answer = std::move(head);
    m_closing = m_closing || !m_answer.keepAlive;
    m_idleLimit = keepAliveLimit(m_answer.headers).value_or(m_idleLimit);
    if (m_hooks.onHead) {
        m_hooks.onHead(m_answer);
    }
}

void OutboundConnection::handleBody(std::string_view bytes)
{
    if (!m_skipping) {
        if (m_hooks.onBody) {
            m_hooks.onBody(bytes);
        }
        return;
    }
    m_skippedBytes += bytes.size();
    if (m_skippedBytes > maximumSkippedBytes) {
        rejectAnswer();
    }
}

void OutboundConnection::rejectAnswer()
{
    // The parser is running, and fail() frees the buffer that it reads. Reading stops, so this happens once.
    m_closing = true;
    bufferevent_disable(m_socket, EV_READ);
    m_loop.post([this, alive = m_alive] {
        if (*alive && m_busy) {
            fail(ConnectionFailure::Malformed);
        }
    });
}

void OutboundConnection::handleComplete()
{
    if (m_skipping) {
        m_skipping = false;
        return;
    }
    m_busy = false;
    m_lastAnswer = net::now();
    // The hook is moved out since it may send the next request. It runs from the loop since it may destroy this object
    // while readInput() has yet to drain the input.
    m_loop.post([alive = m_alive, hook = std::exchange(m_hooks, {}).onComplete] {
        if (*alive && hook) {
            hook();
        }
    });
}

void OutboundConnection::onEvent(bufferevent * /*bufferedSocket*/, short what, void *self)
{
    auto *connection = static_cast<OutboundConnection *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->m_connected = true;
        connection->m_connectTimer.cancel();
        connection->write(connection->m_unsent, connection->m_unsentBody);
        // Assigning an empty string would keep the capacity for as long as the connection is idle.
        std::string().swap(connection->m_unsent);
        connection->m_unsentBody = Body();
        return;
    }
    if (!connection->m_connected) {
        connection->fail(ConnectionFailure::NotConnected);
        return;
    }
    if (!connection->m_busy) {
        connection->m_closing = true;
        connection->endIdle();
        return;
    }
    // A write that fails takes the socket's error with it, so that the read after a reset finds an end of the stream.
    const bool orderly = (what & BEV_EVENT_EOF) != 0 && (what & (BEV_EVENT_ERROR | BEV_EVENT_WRITING)) == 0;
    if (orderly) {
        const std::shared_ptr<bool> alive = connection->m_alive;
        connection->m_closing = true;
        connection->readInput();
        if (!*alive || !connection->m_busy) {
            return;
        }
        if (!connection->m_skipping && connection->m_parser.finish()) {
            return;
        }
        if (!*alive) {
            return;
        }
    }
    connection->fail(ConnectionFailure::Reset);
}

void OutboundConnection::fail(ConnectionFailure failure)
{
    m_connectTimer.cancel();
    if (m_socket != nullptr) {
        bufferevent_free(std::exchange(m_socket, nullptr));
    }
    m_closing = true;
    if (!m_busy) {
        endIdle();
        return;
    }
    m_busy = false;
    m_loop.post([alive = m_alive, failure, hook = std::exchange(m_hooks, {}).onFailure] {
        if (*alive && hook) {
            hook(failure);
        }
    });
}

void OutboundConnection::endIdle()
{
    m_closing = true;
    m_loop.post([alive = m_alive, hook = std::exchange(m_onIdleEnd, {})] {
        if (*alive && hook) {
            hook();
        }
    });
}

} // namespace jackdawdoor::proxy
