#include "overload/crowd.h"

#include "net/eventloop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace jackdawdoor::overload {

namespace {

/** A process that reads later because its memory is short stops the senders; after this time they are taken as stopped. */
constexpr Duration quietTime = std::chrono::seconds{2};
/** Limit for a process that takes the bytes slowly without end. */
constexpr Duration longestRun = std::chrono::seconds{15};
constexpr int pollMilliseconds = 50;
/** The smallest window, so that the answers of callers that do not read stay in the process. */
constexpr int smallBufferBytes = 4096;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

Crowd::Crowd(int port, std::size_t pieceBytes)
    : m_port(port)
    , m_pieceBytes(pieceBytes)
{
}

Crowd::~Crowd()
{
    for (Caller &caller : m_callers) {
        close(caller);
    }
}

void Crowd::add(CallerBytes bytes, bool reads)
{
    Caller caller;
    caller.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    caller.bytes = std::move(bytes);
    caller.reads = reads;
    if (!reads) {
        setsockopt(caller.socket, SOL_SOCKET, SO_RCVBUF, &smallBufferBytes, sizeof(smallBufferBytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<in_port_t>(m_port));
    // The result is seen by the first poll.
    static_cast<void>(connect(caller.socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    m_callers.push_back(std::move(caller));
}

std::string_view Crowd::unsent(const Caller &caller)
{
    const CallerBytes &bytes = caller.bytes;
    if (caller.part > bytes.blocks + 1) {
        return {};
    }
    const std::string &part = caller.part == 0 ? bytes.head : (caller.part <= bytes.blocks ? *bytes.block : bytes.last);
    return std::string_view(part).substr(caller.offset);
}

void Crowd::close(Caller &caller)
{
    if (caller.socket >= 0) {
        ::close(caller.socket);
        caller.socket = -1;
    }
}

bool Crowd::discardInput(Caller &caller)
{
    std::array<char, 65536> buffer{};
    const ssize_t got = recv(caller.socket, buffer.data(), buffer.size(), 0);
    if (got > 0) {
        return true;
    }
    if (got == 0 || !wouldBlock()) {
        close(caller);
        return true;
    }
    return false;
}

bool Crowd::sendPiece(Caller &caller) const
{
    std::size_t left = m_pieceBytes;
    const std::size_t parts = caller.bytes.blocks + 2;
    while (left > 0 && caller.part < parts) {
        const std::string_view bytes = unsent(caller).substr(0, left);
        if (bytes.empty()) {
            ++caller.part;
            caller.offset = 0;
            continue;
        }
        const ssize_t sent = send(caller.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (!wouldBlock()) {
                close(caller);
                return true;
            }
            break;
        }
        caller.offset += static_cast<std::size_t>(sent);
        left -= static_cast<std::size_t>(sent);
    }
    return left < m_pieceBytes;
}

/** One turn of each connection; true if one of them progressed. */
bool Crowd::step()
{
    std::vector<pollfd> waiting;
    for (const Caller &caller : m_callers) {
        const bool sends = !caller.connected || caller.part < caller.bytes.blocks + 2;
        waiting.push_back({caller.socket, static_cast<short>((sends ? POLLOUT : 0) | (caller.reads ? POLLIN : 0)), 0});
    }
    poll(waiting.data(), waiting.size(), pollMilliseconds);
    bool progressed = false;
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        Caller &caller = m_callers[index];
        const short ready = waiting[index].revents;
        if ((ready & POLLOUT) != 0) {
            progressed = !std::exchange(caller.connected, true) || progressed;
            progressed = sendPiece(caller) || progressed;
        }
        if (caller.socket >= 0 && (ready & POLLIN) != 0) {
            progressed = discardInput(caller) || progressed;
        }
        if (caller.socket >= 0 && (ready & (POLLERR | POLLHUP)) != 0) {
            close(caller);
            progressed = true;
        }
    }
    return progressed;
}

bool Crowd::finished() const
{
    return std::ranges::all_of(m_callers, [](const Caller &caller) {
        return caller.socket < 0 || (caller.connected && caller.part >= caller.bytes.blocks + 2);
    });
}

void Crowd::run()
{
    const TimePoint end = net::now() + longestRun;
    TimePoint lastProgress = net::now();
    while (!finished() && net::now() < end && net::now() < lastProgress + quietTime) {
        if (step()) {
            lastProgress = net::now();
        }
    }
}

std::size_t Crowd::openConnections() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_callers, [](const Caller &caller) {
        return caller.socket >= 0;
    }));
}

} // namespace jackdawdoor::overload
