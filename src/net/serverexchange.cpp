#include "net/serverexchange.h"

#include "net/receivedheaders.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <utility>

namespace jackdawdoor::net {

namespace {

// Limit on pipelined input: while an answer is written, input is read only to detect a closed connection.
constexpr std::size_t maximumReadAheadBytes = std::size_t{64} * 1024;

timeval toTimeval(Duration duration)
{
    timeval value{};
    value.tv_sec = duration.count() / std::micro::den;
    value.tv_usec = duration.count() % std::micro::den;
    return value;
}

const char *methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_TRACE:
        return "TRACE";
    case EVHTTP_REQ_CONNECT:
        return "CONNECT";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    }
    return "";
}

} // namespace

/** State between end() and the last byte sent; owned by two callbacks, of which exactly one is called. */
struct ServerExchange::Ending {
    ServerLimits limits;
    std::function<void(bool)> onSent;
};

ServerExchange::ServerExchange(EventLoop &loop, evhttp_request *request, const ServerLimits &limits, Hook onGone)
    : m_loop(loop)
    , m_request(request)
    , m_limits(limits)
    , m_onGone(std::move(onGone))
{
    watchForClose();
}

ServerExchange::~ServerExchange()
{
    *m_alive = false;
    abort();
}

void ServerExchange::watchForClose()
{
    evhttp_connection_set_closecb(connection(), &ServerExchange::onClose, this);
    bufferevent *bufferedSocket = buffers();
    // evhttp stops reading while a request is handled and would notice a closed connection only when it writes. Its read
    // callback must not run in this state, so it is removed; evhttp sets it again for the next request.
    bufferevent_data_cb readCallback = nullptr;
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(bufferedSocket, &readCallback, &writeCallback, &eventCallback, &argument);
    bufferevent_setcb(bufferedSocket, nullptr, writeCallback, eventCallback, argument);
    bufferevent_setwatermark(bufferedSocket, EV_READ, 0, maximumReadAheadBytes);
    const timeval write = toTimeval(m_limits.writeTimeout);
    bufferevent_set_timeouts(bufferedSocket, nullptr, &write);
    bufferevent_enable(bufferedSocket, EV_READ);
}

void ServerExchange::onComplete(evhttp_request *request, void *ending)
{
    const std::unique_ptr<Ending> done(static_cast<Ending *>(ending));
    if (evhttp_connection *connection = evhttp_request_get_connection(request)) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        bufferevent *bufferedSocket = evhttp_connection_get_bufferevent(connection);
        const timeval read = toTimeval(done->limits.readTimeout);
        const timeval write = toTimeval(done->limits.writeTimeout);
        bufferevent_setwatermark(bufferedSocket, EV_READ, 0, done->limits.maximumBodyBytes + done->limits.maximumHeaderBytes);
        bufferevent_set_timeouts(bufferedSocket, &read, &write);
    }
    if (done->onSent) {
        done->onSent(true);
    }
}

void ServerExchange::onCloseWhileEnding(evhttp_connection * /*connection*/, void *ending)
{
    const std::unique_ptr<Ending> lost(static_cast<Ending *>(ending));
    if (lost->onSent) {
        lost->onSent(false);
    }
}

void ServerExchange::onClose(evhttp_connection * /*connection*/, void *exchange)
{
    auto *self = static_cast<ServerExchange *>(exchange);
    if (self->m_closed) {
        return;
    }
    self->m_closed = true;
    // After a network error evhttp has detached the request, and its owner frees it. When the server is destroyed the request
    // is still attached, and evhttp frees it with its connection.
    evhttp_request *request = std::exchange(self->m_request, nullptr);
    const bool detached = evhttp_request_get_connection(request) == nullptr;
    self->m_loop.post([request, detached, alive = self->m_alive, hook = self->m_onGone] {
        if (detached) {
            evhttp_request_free(request);
        }
        if (*alive && hook) {
            hook();
        }
    });
}

evhttp_connection *ServerExchange::connection() const
{
    return evhttp_request_get_connection(m_request);
}

bufferevent *ServerExchange::buffers() const
{
    return evhttp_connection_get_bufferevent(connection());
}

Headers ServerExchange::receivedHeaders() const
{
    return net::receivedHeaders(m_request);
}

RequestContent ServerExchange::content() const
{
    evbuffer *input = evhttp_request_get_input_buffer(m_request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return {methodName(evhttp_request_get_command(m_request)),
            evhttp_request_get_uri(m_request),
            withoutHopByHop(receivedHeaders()),
            std::move(body)};
}

void ServerExchange::addHeaders(const Headers &headers)
{
    for (const Header &header : headers) {
        evhttp_add_header(evhttp_request_get_output_headers(m_request), header.name.c_str(), header.value.c_str());
    }
}

void ServerExchange::reply(int status, const Headers &headers, std::string_view body)
{
    start(status, headers, body.size());
    send(body, {});
    end();
}

void ServerExchange::start(int status, const Headers &headers, std::optional<std::uint64_t> contentLength)
{
    if (m_closed) {
        return;
    }
    addHeaders(headers);
    // 1xx, 204 and 304 have no body, and 204 must not have a Content-Length.
    if (contentLength && status != 204 && status != 304) {
        addHeaders({{"Content-Length", std::to_string(*contentLength)}});
    }
    evhttp_send_reply_start(m_request, status, nullptr);
}

void ServerExchange::send(std::string_view bytes, Hook onDrained)
{
    if (m_closed || bytes.empty()) {
        return;
    }
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    m_onDrained = std::move(onDrained);
    evhttp_send_reply_chunk_with_cb(m_request, chunk, &ServerExchange::onWritten, this);
    evbuffer_free(chunk);
}

void ServerExchange::onWritten(evhttp_connection * /*connection*/, void *exchange)
{
    // The hook may end the exchange, so it is moved out first.
    const Hook hook = std::exchange(static_cast<ServerExchange *>(exchange)->m_onDrained, {});
    if (hook) {
        hook();
    }
}

std::size_t ServerExchange::unsent() const
{
    return m_closed ? 0 : evbuffer_get_length(bufferevent_get_output(buffers()));
}

void ServerExchange::end(std::function<void(bool sent)> onSent)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    auto ending = std::make_unique<Ending>(Ending{m_limits, std::move(onSent)});
    evhttp_request_set_on_complete_cb(m_request, &ServerExchange::onComplete, ending.get());
    evhttp_connection_set_closecb(connection(), &ServerExchange::onCloseWhileEnding, ending.release());
    evhttp_send_reply_end(std::exchange(m_request, nullptr));
}

void ServerExchange::abort()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    evhttp_connection *lost = connection();
    evhttp_connection_set_closecb(lost, nullptr, nullptr);
    // An orderly close would look like the end of an answer that is delimited by the close. Disconnecting resets the
    // connection; SO_LINGER would not, since evhttp shuts the socket down before it closes it.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(connect(bufferevent_getfd(evhttp_connection_get_bufferevent(lost)), &none, sizeof(none)));
    // evhttp would close the socket before removing its events, when another thread may already have reused the descriptor.
    bufferevent_disable(evhttp_connection_get_bufferevent(lost), EV_READ | EV_WRITE);
    evhttp_connection_free(lost);
    m_request = nullptr;
}

bool ServerExchange::closed() const
{
    return m_closed;
}

} // namespace jackdawdoor::net
