// CallerConnection: memory, idle times and callers that do not read.
#include "proxy/callerconnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/ioctl.h>

#include <algorithm>
#include <vector>

namespace jackdawdoor::proxy {

namespace {

/** A body that arrives in smaller pieces than this per memoryStallGrace counts as stopped when memory is short. */
constexpr std::size_t minimumProgressBytes = std::size_t{4} * 1024;
/** Retry-After of a request that was refused for lack of memory; bodies that stop are closed within this time. */
constexpr const char *memoryRetryAfter = "2";

} // namespace

std::uint64_t idOf(const CallerConnection *connection)
{
    return reinterpret_cast<std::uintptr_t>(connection);
}

CallerConnection *connectionToReplace(TimePoint now, const CallerConnections &connections)
{
    std::vector<limits::ConnectionState> states;
    states.reserve(connections.size());
    for (const auto &[key, connection] : connections) {
        states.push_back(connection->connectionState(now, idOf(key)));
    }
    const auto closed = limits::connectionToClose(now, states);
    const auto found = std::find_if(connections.begin(), connections.end(), [&closed](const auto &entry) {
        return closed && idOf(entry.first) == *closed;
    });
    return found == connections.end() ? nullptr : found->second.get();
}

void CallerConnection::write(std::string_view bytes)
{
    m_output.resize(m_output.bytes() + bytes.size());
    m_delivery.addQueued(net::now(), bytes.size());
    bufferevent_write(m_socket, bytes.data(), bytes.size());
}

void CallerConnection::write(const Body &body)
{
    m_delivery.addQueued(net::now(), body.size());
    body.writeTo(bufferevent_get_output(m_socket));
}

bool CallerConnection::mayRead(std::size_t bytes)
{
    if (!m_memory || !m_receivingBody) {
        return true;
    }
    const std::size_t growth = m_request.body.growth(bytes);
    const std::uint64_t announced = m_request.head.contentLength.value_or(0);
    const bool isSmall = std::max<std::uint64_t>(announced, m_request.body.size() + bytes) <= limits::smallRequestBytes;
    if (growth == 0 || m_memory->available(growth, isSmall ? limits::MemoryUser::SmallRequest : limits::MemoryUser::LargeRequest)) {
        m_waitingSince.reset();
        return true;
    }
    m_wantedBytes = growth;
    if (!m_waitingSince) {
        m_waitingSince = net::now();
        m_timer.cancel();
        bufferevent_disable(m_socket, EV_READ);
    }
    return false;
}

void CallerConnection::resumeReading()
{
    if (!m_waitingSince || m_ended) {
        return;
    }
    readInput();
    if (!m_waitingSince && !m_ended) {
        m_progressed = net::now();
        bufferevent_enable(m_socket, EV_READ);
    }
}

void CallerConnection::noteProgress()
{
    if (m_request.body.size() >= m_progressBytes + minimumProgressBytes) {
        m_progressBytes = m_request.body.size();
        m_progressed = net::now();
    }
}

std::size_t CallerConnection::wantedBytes() const
{
    return m_waitingSince ? m_wantedBytes : 0;
}

std::size_t CallerConnection::inputBytes() const
{
    std::size_t bytes = evbuffer_get_length(bufferevent_get_input(m_socket));
    int inKernel = 0;
    // Only a connection that is not read has more than a moment's bytes in the kernel.
    if (!m_discarding && (m_waitingSince || bytes >= maximumReadAheadBytes)
        && ioctl(bufferevent_getfd(m_socket), FIONREAD, &inKernel) == 0) {
        bytes += static_cast<std::size_t>(std::max(inKernel, 0));
    }
    return bytes + (m_receiving ? m_parser.headBytes() : 0);
}

limits::MemoryHolder CallerConnection::memoryHolder(std::uint64_t id, std::size_t runningBytes) const
{
    if (m_receiving) {
        const std::size_t bytes = m_request.body.capacity();
        return {id, limits::MemoryPhase::Receiving, bytes, m_request.received, m_progressed, m_waitingSince};
    }
    const bool answering = unsent() > 0;
    const limits::MemoryPhase phase = answering ? limits::MemoryPhase::Answering : limits::MemoryPhase::Running;
    const TimePoint progressed = answering ? m_delivery.progressed() : m_request.received;
    return {id, phase, unsent() + runningBytes, m_request.received, progressed, std::nullopt, m_discarding ? 0 : inputBytes()};
}

limits::ConnectionState CallerConnection::connectionState(TimePoint now, std::uint64_t id)
{
    using Phase = limits::ConnectionState::Phase;
    updateDelivery(now);
    if (!m_delivery.complete()) {
        return {id, Phase::Busy, m_progressed};
    }
    if (m_lingering) {
        return {id, Phase::Closing, m_delivery.progressed()};
    }
    if (m_receiving) {
        return {id, m_waitingSince ? Phase::Busy : Phase::Receiving, m_progressed};
    }
    return {id, idle() ? Phase::Idle : Phase::Busy, m_progressed};
}

void CallerConnection::endForMemory(limits::MemoryRelief relief)
{
    if (m_ended) {
        return;
    }
    switch (relief) {
    case limits::MemoryRelief::CloseStopped:
        reject(HTTP_STATUS_REQUEST_TIMEOUT, limits::memoryReliefName(relief));
        return;
    case limits::MemoryRelief::DropInput:
        m_hooks.onRejected(*this, 0, limits::memoryReliefName(relief));
        m_closeAfterAnswer = true;
        m_discarding = true;
        discardInput();
        if (!m_busy) {
            m_closing = true; // the answer before the dropped input is complete and is being sent
            if (unsent() == 0) {
                beginLinger(net::now());
            }
        }
        return;
    case limits::MemoryRelief::Refuse:
        reject(HTTP_STATUS_SERVICE_UNAVAILABLE, limits::memoryReliefName(relief), {{"Retry-After", memoryRetryAfter}});
        return;
    case limits::MemoryRelief::AbortUnread:
    case limits::MemoryRelief::AbortRunning:
        abortUnread(limits::memoryReliefName(relief));
        return;
    }
}

void CallerConnection::tick(TimePoint now)
{
    m_output.resize(std::min(m_output.bytes(), unsent()));
    updateDelivery(now);
    if (!m_ended && m_delivery.stalled(now, m_unreadLimit)) {
        abortUnread("answer-not-read");
    }
}

void CallerConnection::updateDelivery(TimePoint now)
{
    if (!m_delivery.complete()) { // otherwise each idle connection would cost a system call per tick
        m_delivery.update(now, undelivered());
    }
}

void CallerConnection::abortUnread(const char *reason)
{
    m_hooks.onRejected(*this, 0, reason);
    if (m_busy) {
        m_hooks.onGone(*this);
    }
    abort();
}

} // namespace jackdawdoor::proxy
