#include "proxy/datagramsocket.h"

#include "net/socketaddress.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace jackdawdoor::proxy {

namespace {

constexpr std::size_t maximumDatagram = 65536;
/** Datagrams read per event, so that other events are not starved. */
constexpr int maximumReadsPerEvent = 64;

settings::Endpoint endpointOf(const sockaddr_storage &address)
{
    const auto &ipv4 = reinterpret_cast<const sockaddr_in &>(address);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv4.sin_port)};
}

} // namespace

DatagramSocket::DatagramSocket(net::EventLoop &loop, Receiver receiver)
    : m_loop(loop)
    , m_receiver(std::move(receiver))
{
}

DatagramSocket::~DatagramSocket()
{
    if (m_event != nullptr) {
        event_free(m_event);
    }
    if (m_socket >= 0) {
        close(m_socket);
    }
}

Result<settings::Endpoint> DatagramSocket::bind(const settings::Endpoint &endpoint)
{
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_storage address{};
    const socklen_t length = net::toSocketAddress(endpoint, address);
    if (m_socket < 0 || ::bind(m_socket, reinterpret_cast<sockaddr *>(&address), length) != 0) {
        return Error{"listen for instances", endpoint.text(), std::strerror(errno)};
    }
    m_event = event_new(m_loop.base(), m_socket, EV_READ | EV_PERSIST, &DatagramSocket::onReadable, this);
    event_add(m_event, nullptr);
    return settings::Endpoint{endpoint.host, net::boundPort(m_socket)};
}

void DatagramSocket::send(const settings::Endpoint &to, std::string_view bytes)
{
    sockaddr_storage address{};
    const socklen_t length = net::toSocketAddress(to, address);
    const ssize_t sent = sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&address), length);
    m_sendFailures += sent < 0 ? 1 : 0;
}

std::uint64_t DatagramSocket::sendFailures() const
{
    return m_sendFailures;
}

void DatagramSocket::onReadable(int /*socket*/, short /*what*/, void *self)
{
    static_cast<DatagramSocket *>(self)->receive();
}

void DatagramSocket::receive()
{
    static thread_local std::array<char, maximumDatagram> buffer;
    for (int count = 0; count < maximumReadsPerEvent; ++count) {
        sockaddr_storage from{};
        socklen_t length = sizeof(from);
        const ssize_t size = recvfrom(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 0) {
            return;
        }
        m_receiver(std::string_view(buffer.data(), static_cast<std::size_t>(size)), endpointOf(from));
    }
}

} // namespace jackdawdoor::proxy
