// CallerConnection: the close of a connection behind its answers.
#include "proxy/callerconnection.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace jackdawdoor::proxy {

namespace {

constexpr Duration lingerCheckPeriod = std::chrono::milliseconds{100};

} // namespace

void closeIdleConnections(const CallerConnections &connections)
{
    for (const auto &[key, connection] : connections) {
        connection->beginClose(true);
    }
}

std::size_t undeliveredAnswers(const CallerConnections &connections)
{
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const auto &entry) {
        return entry.second->awaitsDelivery();
    }));
}

void CallerConnection::beginLinger(TimePoint now)
{
    if (m_lingering || m_ended) {
        return;
    }
    m_lingering = true;
    m_closing = true;
    m_delivery.addQueued(now, 1); // the end of the stream is acknowledged like a byte
    shutdown(bufferevent_getfd(m_socket), SHUT_WR);
    if (!m_discarding) {
        // A request that crosses an unannounced close stays unread, so that its caller may send it again.
        bufferevent_disable(m_socket, EV_READ);
    }
    m_timer.set(lingerCheckPeriod);
}

/** The caller has shut down its sending side and may still read the answers before. */
void CallerConnection::closeAfterDelivery(TimePoint now)
{
    if (m_lingering) {
        return;
    }
    m_closing = true;
    m_receiving = false;
    m_request.body = Body();
    m_waitingSince.reset();
    m_timer.cancel();
    if (unsent() == 0) {
        beginLinger(now);
    }
}

void CallerConnection::continueLinger(TimePoint now)
{
    updateDelivery(now);
    const CallerSide side = callerSide();
    const bool read = side == CallerSide::Closed || now - m_delivery.progressed() >= lingerTime;
    if (side == CallerSide::Failed || (m_delivery.complete() && read)) {
        scheduleEnd();
    } else if (m_delivery.stalled(now, m_unreadLimit)) {
        abortUnread("answer-not-read");
    } else {
        m_timer.set(lingerCheckPeriod);
    }
}

/** State of the caller's side; open while input that was not read precedes its end. */
CallerConnection::CallerSide CallerConnection::callerSide() const
{
    char byte = 0;
    const ssize_t size = recv(bufferevent_getfd(m_socket), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (size == 0) {
        return CallerSide::Closed;
    }
    const bool nothingToRead = size < 0 && (errno == EAGAIN || errno == EINTR);
    return size > 0 || nothingToRead ? CallerSide::Open : CallerSide::Failed;
}

} // namespace jackdawdoor::proxy
