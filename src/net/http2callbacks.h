/** Callbacks of an HTTP/2 connection for nghttp2 and libevent; included by its source files only. */
#pragma once

#include "net/http2connection.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

namespace jackdawdoor::net {

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

} // namespace jackdawdoor::net
