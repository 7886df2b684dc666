/** TCP options by which a socket notices that its peer is gone. */
#pragma once

#include <chrono>

namespace jackdawdoor::net {

/** Configures a socket to detect a peer that does not answer within the timeout, by TCP keep-alive probes every second. Unacknowledged
 * bytes are not covered. Also sets TCP_NODELAY. */
void setKeepAlive(int socket, std::chrono::seconds timeout);

/** Does the same and sets TCP_USER_TIMEOUT for unacknowledged bytes. Linux also ends a connection by that whose peer reads all the
 * time, but through a window narrower than what is to be sent next. */
void setPeerTimeout(int socket, std::chrono::seconds timeout);

} // namespace jackdawdoor::net
