/** Connection to an upstream, based on an evhttp client connection. */
#pragma once

#include "net/eventloop.h"
#include "settings/settings.h"

#include <cstdint>
#include <functional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace jackdawdoor::net {

/** Connection that carries one request at a time. Destruction closes it; never destroy it from within an evhttp callback. */
class UpstreamConnection
{
public:
    UpstreamConnection(EventLoop &loop, const settings::Endpoint &endpoint);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    evhttp_connection *handle() const;
    bufferevent *buffers() const;

    /** Sets the hook that is called when the upstream closes the connection while no request uses it. */
    void setIdleClosedHook(std::function<void()> hook);

    /** Records the start of a request. */
    void beginRequest();

    /** True when no byte of the current request has been sent. */
    bool nothingSent() const;

    /** Records that a complete answer has been received. */
    void noteAnswer(TimePoint now);

    /** True until the first complete answer. */
    bool isNew() const;

    /** Time since the last complete answer. */
    Duration silence(TimePoint now) const;

    /** True when the connection was closed and must not be reused; evhttp would silently reopen it. */
    bool closed() const;

private:
    static void onClosed(evhttp_connection *connection, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    evhttp_connection *m_connection;
    std::function<void()> m_idleClosedHook;
    std::uint64_t m_sentBytes = 0;
    TimePoint m_lastAnswer{};
    bool m_answered = false;
    bool m_closed = false;
};

} // namespace jackdawdoor::net
