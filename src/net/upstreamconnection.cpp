#include "net/upstreamconnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace jackdawdoor::net {

namespace {

// Attempts have their own timers; evhttp's timeout is longer than any of them.
constexpr int evhttpTimeoutSeconds = 24 * 3600;

} // namespace

UpstreamConnection::UpstreamConnection(EventLoop &loop, const settings::Endpoint &endpoint)
    : m_connection(evhttp_connection_base_bufferevent_new(loop.base(),
                                                          nullptr,
                                                          nullptr,
                                                          endpoint.host.c_str(),
                                                          static_cast<unsigned short>(endpoint.port)))
{
    evhttp_connection_set_timeout(m_connection, evhttpTimeoutSeconds);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_closecb(m_connection, &UpstreamConnection::onClosed, this);
    evbuffer_add_cb(bufferevent_get_output(buffers()), &UpstreamConnection::onOutput, this);
}

UpstreamConnection::~UpstreamConnection()
{
    evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
    // evhttp would close the socket before removing its events, when another thread may already have reused the descriptor.
    bufferevent_disable(buffers(), EV_READ | EV_WRITE);
    evhttp_connection_free(m_connection);
}

evhttp_connection *UpstreamConnection::handle() const
{
    return m_connection;
}

bufferevent *UpstreamConnection::buffers() const
{
    return evhttp_connection_get_bufferevent(m_connection);
}

void UpstreamConnection::setIdleClosedHook(std::function<void()> hook)
{
    m_idleClosedHook = std::move(hook);
}

void UpstreamConnection::beginRequest()
{
    m_sentBytes = 0;
    m_idleClosedHook = nullptr;
}

bool UpstreamConnection::nothingSent() const
{
    return m_sentBytes == 0;
}

void UpstreamConnection::noteAnswer(TimePoint now)
{
    m_lastAnswer = now;
    m_answered = true;
}

bool UpstreamConnection::isNew() const
{
    return !m_answered;
}

Duration UpstreamConnection::silence(TimePoint now) const
{
    return m_answered ? now - m_lastAnswer : Duration{};
}

bool UpstreamConnection::closed() const
{
    return m_closed;
}

void UpstreamConnection::onClosed(evhttp_connection * /*connection*/, void *self)
{
    auto *connection = static_cast<UpstreamConnection *>(self);
    connection->m_closed = true;
    if (connection->m_idleClosedHook) {
        connection->m_idleClosedHook();
    }
}

void UpstreamConnection::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    static_cast<UpstreamConnection *>(self)->m_sentBytes += info->n_deleted;
}

} // namespace jackdawdoor::net
