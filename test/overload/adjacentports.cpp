#include "overload/adjacentports.h"

#include "standins/proxyinstance.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jackdawdoor::overload {

namespace {

bool isFree(int port, int type)
{
    const int probe = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<in_port_t>(port));
    const bool bound = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(probe);
    return bound;
}

bool areFree(int first, int count)
{
    for (int port = first; port < first + count; ++port) {
        if (!isFree(port, SOCK_STREAM) || !isFree(port, SOCK_DGRAM)) {
            return false;
        }
    }
    return true;
}

} // namespace

int freeAdjacentPorts(int count)
{
    while (true) {
        const int first = standins::freePort() / count * count;
        if (areFree(first, count)) {
            return first;
        }
    }
}

} // namespace jackdawdoor::overload
