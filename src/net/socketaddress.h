/** Conversion between endpoints and socket addresses. */
#pragma once

#include "settings/settings.h"

#include <sys/socket.h>

namespace jackdawdoor::net {

/** Fills the address and returns its length. libevent's own parser rejects port 0, which a listener may have. */
socklen_t toSocketAddress(const settings::Endpoint &endpoint, sockaddr_storage &address);

/** Port to which a socket is bound. */
int boundPort(int socket);

} // namespace jackdawdoor::net
