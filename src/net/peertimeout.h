/** TCP options by which a socket notices that its peer is gone. */
#pragma once

#include <chrono>

namespace jackdawdoor::net {

/** Configures a socket to detect an unresponsive peer within the timeout, by TCP keep-alive probes every second and
 * TCP_USER_TIMEOUT for unacknowledged bytes. Also sets TCP_NODELAY. */
void setPeerTimeout(int socket, std::chrono::seconds timeout);

} // namespace jackdawdoor::net
