#include "net/http2connection.h"

#include "net/socketaddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace jackdawdoor::net {

namespace {

constexpr std::size_t maximumUnsentBytes = std::size_t{256} * 1024;
constexpr std::uint32_t maximumStreams = 256;
constexpr std::uint32_t maximumHeaderBytes = 4096;
constexpr std::int32_t streamWindow = 128 * 1024;
// Larger than a stream's window, so that one stream whose reader is slow leaves room for the others.
constexpr std::int32_t connectionWindow = 16 * 1024 * 1024;

nghttp2_nv field(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/** Callbacks of nghttp2 and libevent. */
struct Http2Connection::Callbacks {
    static Http2Connection &self(void *data)
    {
        return *static_cast<Http2Connection *>(data);
    }

    static int header(nghttp2_session *,
                      const nghttp2_frame *frame,
                      const uint8_t *name,
                      size_t nameLength,
                      const uint8_t *value,
                      size_t valueLength,
                      uint8_t,
                      void *data)
    {
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        if (key == (self(data).m_opener ? ":status" : ":path")) {
            self(data).m_events.head(frame->hd.stream_id, std::string(reinterpret_cast<const char *>(value), valueLength));
        }
        return 0;
    }

    static int chunk(nghttp2_session *session, uint8_t, int32_t stream, const uint8_t *bytes, size_t length, void *data)
    {
        nghttp2_session_consume_connection(session, length);
        self(data).m_events.data(stream, std::string_view(reinterpret_cast<const char *>(bytes), length));
        return 0;
    }

    static int frame(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            self(data).m_events.end(frame->hd.stream_id);
        }
        return 0;
    }

    static int streamClosed(nghttp2_session *, int32_t stream, uint32_t error, void *data)
    {
        self(data).m_sending.erase(stream);
        self(data).m_events.streamClosed(stream, error == NGHTTP2_NO_ERROR);
        return 0;
    }

    static ssize_t
    source(nghttp2_session *, int32_t stream, uint8_t *buffer, size_t length, uint32_t *flags, nghttp2_data_source *, void *data)
    {
        return self(data).readSource(stream, buffer, length, flags);
    }

    static void readable(bufferevent *, void *data)
    {
        self(data).receive();
    }

    static void writable(bufferevent *, void *data)
    {
        self(data).flush();
    }

    static void event(bufferevent *, short what, void *data)
    {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            self(data).m_lastReceived = now();
            if (self(data).m_events.opened) {
                self(data).m_events.opened();
            }
            return;
        }
        self(data).fail((what & BEV_EVENT_EOF) != 0 ? "the other side closed the connection"
                                                    : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    }
};

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

Http2Connection::Source Http2Connection::fixed(std::string bytes)
{
    return [bytes = std::move(bytes)]() mutable {
        return AnswerPipe::Taken{std::exchange(bytes, {}), AnswerPipe::State::Complete};
    };
}

std::int32_t Http2Connection::request(const std::string &path, Source body)
{
    const std::array<nghttp2_nv, 4> fields{
        field(":method", "POST"), field(":scheme", "http"), field(":authority", "peer"), field(":path", path)};
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::source;
    const std::int32_t stream = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (stream >= 0) {
        m_sending[stream].source = std::move(body);
        flush();
    }
    return stream;
}

void Http2Connection::respond(std::int32_t stream, int status, Source body)
{
    const std::string text = std::to_string(status);
    const nghttp2_nv statusField = field(":status", text);
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::source;
    m_sending[stream].source = std::move(body);
    if (nghttp2_submit_response(m_session, stream, &statusField, 1, &provider) != 0) {
        m_sending.erase(stream);
    }
    flush();
}

std::int64_t Http2Connection::readSource(std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags)
{
    const auto found = m_sending.find(stream);
    if (found == m_sending.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Sending &sending = found->second;
    if (sending.position == sending.bytes.size() && sending.state == AnswerPipe::State::Open) {
        AnswerPipe::Taken taken = sending.source();
        sending.bytes = std::move(taken.bytes);
        sending.state = taken.state;
        sending.position = 0;
    }
    const std::size_t count = std::min(length, sending.bytes.size() - sending.position);
    std::memcpy(buffer, sending.bytes.data() + sending.position, count);
    sending.position += count;
    const bool empty = sending.position == sending.bytes.size();
    if (empty && sending.state == AnswerPipe::State::Complete) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
        // A broken source resets the stream, so that the receiver cannot take it for complete.
        return sending.state == AnswerPipe::State::Open ? NGHTTP2_ERR_DEFERRED : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return static_cast<std::int64_t>(count);
}

void Http2Connection::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(m_session, stream);
    flush();
}

void Http2Connection::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(m_session, stream, bytes);
    flush();
}

void Http2Connection::cancel(std::int32_t stream)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

void Http2Connection::ping()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

Duration Http2Connection::silence(TimePoint now) const
{
    return now - m_lastReceived;
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
    // nghttp2 must not be entered again from one of its own callbacks; receive() flushes when they are done.
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
        fail("the connection was ended by one side");
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
