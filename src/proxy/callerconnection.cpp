#include "proxy/callerconnection.h"

#include "net/peertimeout.h"
#include "net/unacknowledgedbytes.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Longer than callers wait for an answer, so that packet loss alone does not end a connection that still awaits one. */
constexpr std::chrono::seconds callerPeerTimeout{15};
/** A request whose body stops for this long is answered 408. */
constexpr Duration bodyIdleTimeout = std::chrono::seconds{15};

/** Size of a head in bytes, without the fixed parts of its first line. */
std::size_t headSize(const MessageHead &head)
{
    std::size_t size = head.method.size() + head.target.size();
    for (const net::Header &header : head.headers) {
        size += header.name.size() + header.value.size() + std::string_view(": \r\n").size();
    }
    return size;
}

} // namespace

const char *reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

CallerConnection::CallerConnection(net::EventLoop &loop,
                                   int socket,
                                   const routing::CallerLimits &limits,
                                   const CallerHooks &hooks,
                                   std::shared_ptr<limits::MemoryAccount> memory)
    : m_loop(loop)
    , m_limits(limits)
    , m_hooks(hooks)
    , m_parser(MessageParser::Kind::Request,
               {[this](MessageHead &&head) {
                    handleHead(std::move(head));
                },
                [this](std::string_view bytes) {
                    handleBody(bytes);
                },
                [this] {
                    handleComplete();
                }})
    , m_timer(loop,
              [this] {
                  onTimer(net::now());
              })
    , m_socket(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , m_memory(std::move(memory))
    , m_output(m_memory, limits::MemoryKind::Answer, 0)
    , m_delivery(net::now())
    , m_progressed(m_delivery.progressed())
    , m_unreadLimit(maximumUnreadTime)
{
    net::setKeepAlive(socket, callerPeerTimeout); // tick() ends an answer that is not acknowledged
    bufferevent_setcb(m_socket, &CallerConnection::onRead, &CallerConnection::onWritten, &CallerConnection::onEvent, this);
    bufferevent_setwatermark(m_socket, EV_READ, 0, maximumReadAheadBytes);
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    armIdleTimer();
}

CallerConnection::~CallerConnection()
{
    *m_alive = false;
    if (unsent() > 0) {
        resetOnClose();
    }
    bufferevent_free(m_socket);
}

void CallerConnection::armIdleTimer()
{
    m_timer.set(m_limits.idleTimeout);
}

void CallerConnection::onTimer(TimePoint now)
{
    if (m_lingering) {
        continueLinger(now);
    } else if (m_receiving) {
        reject(HTTP_STATUS_REQUEST_TIMEOUT, "the request did not arrive in time");
    } else {
        closeIfIdle(now);
    }
}

/** The idle time begins when the caller has the whole answer. */
void CallerConnection::closeIfIdle(TimePoint now)
{
    updateDelivery(now);
    const Duration idleFor = now - std::max(m_progressed, m_delivery.progressed());
    if (!m_delivery.complete()) {
        armIdleTimer(); // tick() ends an answer that is not read at all
    } else if (idleFor < m_limits.idleTimeout) {
        m_timer.set(m_limits.idleTimeout - idleFor);
    } else {
        beginLinger(now);
    }
}

void CallerConnection::onRead(bufferevent * /*socket*/, void *self)
{
    static_cast<CallerConnection *>(self)->readInput();
}

void CallerConnection::readInput()
{
    evbuffer *input = bufferevent_get_input(m_socket);
    while (!m_busy && !m_ended && !m_closing && !m_discarding && evbuffer_get_length(input) > 0) {
        if (!m_receiving && unsent() > maximumUnsentBytes) {
            return; // onWritten() reads on
        }
        if (!m_receiving) {
            m_receiving = true;
            m_receivingBody = false;
            m_request = {};
            m_request.body = Body(m_memory, limits::MemoryKind::RequestBody);
            m_request.received = net::now();
            m_progressed = m_request.received;
            m_timer.set(m_limits.headerTimeout);
        }
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (!mayRead(length)) {
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
        const std::size_t used = m_parser.feed(std::string_view(bytes, length));
        evbuffer_drain(input, used);
        if (m_parser.failed()) {
            reject(HTTP_STATUS_BAD_REQUEST, "malformed request");
        } else if (m_tooLarge) {
            reject(HTTP_STATUS_PAYLOAD_TOO_LARGE, "the body is too large");
        } else if (m_headTooLarge || (m_parser.inMessage() && m_parser.headBytes() > m_limits.maximumHeaderBytes)) {
            reject(HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large");
        }
    }
    if (m_receiving && m_receivingBody) {
        m_timer.set(bodyIdleTimeout);
        noteProgress();
    }
    if (m_discarding) {
        discardInput();
    }
}

void CallerConnection::discardInput()
{
    evbuffer *input = bufferevent_get_input(m_socket);
    evbuffer_drain(input, evbuffer_get_length(input));
}

void CallerConnection::handleHead(MessageHead &&head)
{
    m_request.head = std::move(head);
    m_receivingBody = true;
    m_progressBytes = 0;
    m_headTooLarge = headSize(m_request.head) > m_limits.maximumHeaderBytes;
    const std::uint64_t announced = m_request.head.contentLength.value_or(0);
    m_tooLarge = announced > m_limits.maximumBodyBytes;
    m_request.body.expect(m_tooLarge ? 0 : static_cast<std::size_t>(announced));
    if (!net::findHeader(m_request.head.headers, "Expect").empty()) {
        constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
        write(continueAnswer);
    }
}

void CallerConnection::handleBody(std::string_view bytes)
{
    m_tooLarge = m_tooLarge || m_request.body.size() + bytes.size() > m_limits.maximumBodyBytes;
    if (!m_tooLarge) {
        m_request.body.append(bytes);
    }
}

void CallerConnection::handleComplete()
{
    m_timer.cancel();
    m_receiving = false;
    m_busy = true;
    m_closeAfterAnswer = m_closeAfterAnswer || !m_request.head.keepAlive;
    m_noBody = m_request.head.method == "HEAD";
    m_http10 = m_request.head.http10;
    // readInput() has yet to drain the parsed input, so the hook runs from the loop.
    m_loop.post([this, alive = m_alive] {
        if (*alive && !m_ended && !m_closing) { // not rejected after its end was read
            m_hooks.onRequest(*this, std::move(m_request));
        }
    });
}

void CallerConnection::reject(int status, const char *reason, const net::Headers &headers)
{
    m_timer.cancel();
    m_request.body = Body();
    m_waitingSince.reset();
    m_busy = true;
    m_receiving = false;
    m_closeAfterAnswer = true;
    m_discarding = true;
    updateDelivery(net::now());
    // A caller that only goes on sending does not hold the connection longer than that, unless earlier answers wait for it.
    m_unreadLimit = awaitsDelivery() ? maximumUnreadTime : lingerTime;
    bufferevent_enable(m_socket, EV_READ);
    m_hooks.onRejected(*this, status, reason);
    net::Headers answerHeaders = m_hooks.rejectionHeaders ? m_hooks.rejectionHeaders(m_request.head) : net::Headers{};
    answerHeaders.insert(answerHeaders.end(), headers.begin(), headers.end());
    reply(status, answerHeaders, std::string(reason) + "\n");
}

void CallerConnection::abort()
{
    if (m_ended) {
        return;
    }
    resetOnClose();
    m_busy = false;
    scheduleEnd();
}

/** An orderly close would look like the end of an answer that is delimited by the close of the connection. */
void CallerConnection::resetOnClose()
{
    const linger immediately{1, 0};
    setsockopt(bufferevent_getfd(m_socket), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

std::size_t CallerConnection::unsent() const
{
    return evbuffer_get_length(bufferevent_get_output(m_socket));
}

std::size_t CallerConnection::undelivered() const
{
    return unsent() + net::unacknowledgedBytes(bufferevent_getfd(m_socket));
}

void CallerConnection::beginClose(bool closeIdle)
{
    m_closeAfterAnswer = true;
    if (closeIdle && idle()) {
        beginLinger(net::now());
    }
}

bool CallerConnection::awaitsDelivery() const
{
    return !m_ended && (m_lingering || !m_delivery.complete());
}

bool CallerConnection::busy() const
{
    return m_busy;
}

bool CallerConnection::idle() const
{
    return !m_busy && !m_receiving && !m_closing && unsent() == 0 && evbuffer_get_length(bufferevent_get_input(m_socket)) == 0;
}

void CallerConnection::onWritten(bufferevent * /*socket*/, void *self)
{
    auto *connection = static_cast<CallerConnection *>(self);
    connection->m_output.resize(0);
    if (connection->m_ended) {
        return;
    }
    if (connection->m_closing && !connection->m_busy) {
        connection->beginLinger(net::now());
    } else if (connection->m_waitingSince) {
        connection->resumeReading();
    } else {
        connection->readInput();
    }
}

void CallerConnection::onEvent(bufferevent * /*socket*/, short what, void *self)
{
    auto *connection = static_cast<CallerConnection *>(self);
    if (connection->m_ended) {
        return;
    }
    if (connection->m_busy) {
        connection->m_busy = false;
        connection->m_hooks.onGone(*connection);
        if (connection->m_streaming) {
            connection->abort(); // a caller that has only shut down its sending side must not take the part for the whole
        }
    }
    const bool endOfInput = (what & BEV_EVENT_EOF) != 0;
    if (endOfInput && !connection->m_ended && connection->undelivered() > 0) {
        connection->closeAfterDelivery(net::now());
    } else {
        connection->scheduleEnd();
    }
}

void CallerConnection::scheduleEnd()
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_timer.cancel();
    bufferevent_disable(m_socket, EV_READ);
    m_loop.post([this, alive = m_alive] {
        if (*alive) {
            m_hooks.onEnd(*this);
        }
    });
}

} // namespace jackdawdoor::proxy
