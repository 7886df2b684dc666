#include "standins/rawclient.h"

#include "net/httpmessage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

namespace jackdawdoor::standins {

RawClient::RawClient(int port, int timeoutMilliseconds, const std::string &host, int receiveBufferBytes)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const timeval timeout{timeoutMilliseconds / 1000, (timeoutMilliseconds % 1000) * 1000L};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if (receiveBufferBytes > 0) {
        // Before the connection is opened, since the window is agreed on then.
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<in_port_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    }
}

RawClient::~RawClient()
{
    close(m_socket);
}

void RawClient::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

std::string RawClient::receive(std::size_t count)
{
    std::string bytes;
    std::array<char, 65536> buffer{};
    while (bytes.size() < count) {
        const ssize_t got = recv(m_socket, buffer.data(), std::min(buffer.size(), count - bytes.size()), 0);
        if (got <= 0) {
            m_end = got == 0 ? End::Closed : (errno == ECONNRESET ? End::Reset : End::Open);
            break;
        }
        bytes.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return bytes;
}

std::string RawClient::receiveAll()
{
    return receive(static_cast<std::size_t>(-1));
}

std::string RawClient::receiveAnswer()
{
    std::string answer;
    while (!answer.ends_with("\r\n\r\n")) {
        const std::string byte = receive(1);
        if (byte.empty()) {
            return answer;
        }
        answer += byte;
    }
    constexpr std::string_view name = "\r\nContent-Length: ";
    const auto place = answer.find(name);
    if (place != std::string::npos) {
        const std::size_t begin = place + name.size();
        answer += receive(net::parseNumber(answer.substr(begin, answer.find('\r', begin) - begin)).value_or(0));
    }
    return answer;
}

void RawClient::finishSending() const
{
    shutdown(m_socket, SHUT_WR);
}

RawClient::End RawClient::end() const
{
    return m_end;
}

std::string exchangeRaw(int port, std::string_view request)
{
    RawClient client(port);
    client.send(request);
    return client.receiveAll();
}

} // namespace jackdawdoor::standins
