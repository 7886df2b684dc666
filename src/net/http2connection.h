/** HTTP/2 connection over plain TCP between two instances, based on nghttp2 and a bufferevent. */
#pragma once

#include "net/answerpipe.h"
#include "net/eventloop.h"
#include "settings/settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct nghttp2_session;

namespace jackdawdoor::net {

/** Event handlers of a connection. Only closed, which is called from the loop, may destroy the connection. */
struct Http2Events {
    std::function<void()> opened; ///< the TCP connection that this side opened is established
    std::function<void(std::int32_t stream, const std::string &pathOrStatus)> head; ///< path at the listener, status at the opener
    std::function<void(std::int32_t stream, std::string_view bytes)> data;
    std::function<void(std::int32_t stream)> end; ///< the peer has sent its whole message
    std::function<void(std::int32_t stream, bool clean)> streamClosed;
    std::function<void(const std::string &reason)> closed; ///< once
};

/** Connection with multiplexed streams. Used on the owner's loop only; destruction closes it. */
class Http2Connection
{
public:
    /** Returns the next bytes to send; State::Open with no bytes suspends the stream until resume(). */
    using Source = std::function<AnswerPipe::Chunk()>;

    /** Opens a connection. */
    Http2Connection(EventLoop &loop, const settings::Endpoint &endpoint, Http2Events events);

    /** Serves an accepted socket. */
    Http2Connection(EventLoop &loop, int socket, Http2Events events);

    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /** Source of a fixed text. */
    static Source fixed(std::string bytes);

    /** Sends a POST request; returns its stream, or a negative number when the stream identifiers are exhausted. */
    std::int32_t request(const std::string &path, Source body);

    /** Sends the answer on a stream. */
    void respond(std::int32_t stream, int status, Source body);

    /** Continues sending after the stream's source had no bytes. */
    void resume(std::int32_t stream);

    /** Returns flow-control credit for processed bytes of a stream. */
    void consume(std::int32_t stream, std::size_t bytes);

    /** Resets a stream. */
    void cancel(std::int32_t stream);

    /** Sends a PING frame. */
    void ping();

    /** Time since bytes were last received. */
    Duration silence(TimePoint now) const;

    /** Bytes buffered in this process. */
    std::size_t unsent() const;

    /** Closes the connection; the closed event follows. */
    void fail(const std::string &reason);

private:
    struct Sending {
        Source source;
        std::string bytes;
        std::size_t position = 0;
        AnswerPipe::State state = AnswerPipe::State::Open;
    };
    struct Callbacks;

    void begin(bool opener, Http2Events events);
    void receive();
    void flush();
    std::int64_t readSource(std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags);

    EventLoop &m_loop;
    bufferevent *m_buffers;
    nghttp2_session *m_session = nullptr;
    Http2Events m_events;
    std::map<std::int32_t, Sending> m_sending;
    TimePoint m_lastReceived;
    bool m_opener = false;
    bool m_inSession = false; ///< inside an nghttp2 callback, where nghttp2 must not be called again
    bool m_failed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
