/** Sent bytes of a socket that its peer has not acknowledged.
 *
 * A completed write has only copied bytes into the kernel. They are lost if the connection is reset, and the kernel resets a
 * connection that is closed while input is unread or that receives input afterwards.
 */
#pragma once

#include <cstddef>

namespace jackdawdoor::net {

/** Bytes in the send queue of the socket's kernel buffer, the end of the stream (FIN) included. Zero if the system does not say. */
std::size_t unacknowledgedBytes(int socket);

} // namespace jackdawdoor::net
