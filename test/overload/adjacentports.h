/** Free loopback ports for a process whose settings need several in a row. */
#pragma once

namespace jackdawdoor::overload {

/** First of the given number of adjacent ports, each free for TCP and UDP; a multiple of that number. The stand-ins listen in the
 * same range, so each port is tried. */
int freeAdjacentPorts(int count);

} // namespace jackdawdoor::overload
