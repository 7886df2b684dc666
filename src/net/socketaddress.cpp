#include "net/socketaddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jackdawdoor::net {

socklen_t toSocketAddress(const settings::Endpoint &endpoint, sockaddr_storage &address)
{
    address = {};
    auto &six = reinterpret_cast<sockaddr_in6 &>(address);
    if (inet_pton(AF_INET6, endpoint.host.c_str(), &six.sin6_addr) == 1) {
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(static_cast<in_port_t>(endpoint.port));
        return sizeof(six);
    }
    auto &four = reinterpret_cast<sockaddr_in &>(address);
    inet_pton(AF_INET, endpoint.host.c_str(), &four.sin_addr);
    four.sin_family = AF_INET;
    four.sin_port = htons(static_cast<in_port_t>(endpoint.port));
    return sizeof(four);
}

int boundPort(int socket)
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    const in_port_t port = address.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 &>(address).sin6_port
                                                         : reinterpret_cast<const sockaddr_in &>(address).sin_port;
    return ntohs(port);
}

} // namespace jackdawdoor::net
