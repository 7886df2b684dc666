#include "net/peertimeout.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdawdoor::net {

void setPeerTimeout(int socket, std::chrono::seconds timeout)
{
    const int on = 1;
    const int period = 1;
    const int probes = static_cast<int>(timeout.count());
    const unsigned unacknowledged = static_cast<unsigned>(std::chrono::milliseconds{timeout}.count());
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &period, sizeof(period));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &period, sizeof(period));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof(unacknowledged));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace jackdawdoor::net
