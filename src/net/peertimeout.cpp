#include "net/peertimeout.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdawdoor::net {

void setKeepAlive(int socket, std::chrono::seconds timeout)
{
    const int on = 1;
    const int period = 1;
    const int probes = static_cast<int>(timeout.count());
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &period, sizeof(period));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &period, sizeof(period));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void setPeerTimeout(int socket, std::chrono::seconds timeout)
{
    setKeepAlive(socket, timeout);
    const unsigned unacknowledged = static_cast<unsigned>(std::chrono::milliseconds{timeout}.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof(unacknowledged));
}

} // namespace jackdawdoor::net
