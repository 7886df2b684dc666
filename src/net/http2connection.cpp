#include "net/http2callbacks.h"

#include "net/socketaddress.h"

#include <event2/buffer.h>

#include <array>
#include <utility>

namespace jackdawdoor::net {

namespace {

constexpr std::size_t maximumUnsentBytes = std::size_t{256} * 1024;
constexpr std::uint32_t maximumStreams = 256;
constexpr std::uint32_t maximumHeaderBytes = 4096;
constexpr std::int32_t streamWindow = 128 * 1024;
// Larger than a stream's window, so that one stream with a slow reader cannot block the others.
constexpr std::int32_t connectionWindow = 16 * 1024 * 1024;

} // namespace

Http2Connection::Http2Connection(EventLoop &loop, const settings::Endpoint &endpoint, Http2Events events)
    : m_loop(loop)
    , m_buffers(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    begin(true, std::move(events));
    sockaddr_storage address{};
    const socklen_t length = toSocketAddress(endpoint, address);
    if (bufferevent_socket_connect(m_buffers, reinterpret_cast<const sockaddr *>(&address), static_cast<int>(length)) != 0) {
        fail("the connection cannot be opened");
    }
}

Http2Connection::Http2Connection(EventLoop &loop, int socket, Http2Events events)
    : m_loop(loop)
    , m_buffers(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
{
    begin(false, std::move(events));
}

Http2Connection::~Http2Connection()
{
    *m_alive = false;
    nghttp2_session_del(m_session);
    bufferevent_free(m_buffers);
}

void Http2Connection::begin(bool opener, Http2Events events)
{
    m_opener = opener;
    m_events = std::move(events);
    m_lastReceived = now();
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::streamClosed);
    nghttp2_option *options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_max_send_header_block_length(options, maximumHeaderBytes);
    if (opener) {
        nghttp2_session_client_new2(&m_session, callbacks, this, options);
    } else {
        nghttp2_session_server_new2(&m_session, callbacks, this, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 4> settings{{{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maximumStreams},
                                                          {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow},
                                                          {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maximumHeaderBytes},
                                                          {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindow);
    bufferevent_setcb(m_buffers, &Callbacks::readable, &Callbacks::writable, &Callbacks::event, this);
    bufferevent_enable(m_buffers, EV_READ | EV_WRITE);
    flush();
}

Duration Http2Connection::silence(TimePoint now) const
{
    return now - m_lastReceived;
}

std::size_t Http2Connection::unsent() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffers));
}

void Http2Connection::receive()
{
    evbuffer *input = bufferevent_get_input(m_buffers);
    m_lastReceived = now();
    m_inSession = true;
    while (!m_failed && evbuffer_get_length(input) > 0) {
        const std::size_t length = evbuffer_get_length(input);
        const ssize_t read = nghttp2_session_mem_recv(m_session, evbuffer_pullup(input, -1), length);
        if (read < 0) {
            fail(nghttp2_strerror(static_cast<int>(read)));
            break;
        }
        evbuffer_drain(input, static_cast<std::size_t>(read));
    }
    m_inSession = false;
    flush();
}

void Http2Connection::flush()
{
    // nghttp2 is not re-entrant from its own callbacks; receive() flushes when they are done.
    if (m_inSession || m_failed) {
        return;
    }
    evbuffer *output = bufferevent_get_output(m_buffers);
    while (evbuffer_get_length(output) < maximumUnsentBytes) {
        const std::uint8_t *bytes = nullptr;
        m_inSession = true;
        const ssize_t length = nghttp2_session_mem_send(m_session, &bytes);
        m_inSession = false;
        if (length < 0) {
            fail(nghttp2_strerror(static_cast<int>(length)));
            return;
        }
        if (length == 0) {
            break;
        }
        evbuffer_add(output, bytes, static_cast<std::size_t>(length));
    }
    const bool finished = nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    if (finished && evbuffer_get_length(output) == 0) {
        fail("the HTTP/2 session was terminated");
    }
}

void Http2Connection::fail(const std::string &reason)
{
    if (m_failed) {
        return;
    }
    m_failed = true;
    bufferevent_disable(m_buffers, EV_READ | EV_WRITE);
    m_loop.post([this, reason, alive = m_alive] {
        if (*alive) {
            // The owner destroys this connection in its handler.
            const auto closed = m_events.closed;
            closed(reason);
        }
    });
}

} // namespace jackdawdoor::net
