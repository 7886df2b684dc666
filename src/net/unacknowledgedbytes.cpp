#include "net/unacknowledgedbytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace jackdawdoor::net {

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    if (ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace jackdawdoor::net
