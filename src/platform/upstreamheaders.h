/** Decodes the headers in which upstreams report their own state. */
#pragma once

#include "proxy/upstreamprotocol.h"

namespace jackdawdoor::platform {

/** Returns the signals in the head of an answer. A value that is not a finite, non-negative number is logged and
 * ignored; of several values the lowest counts. */
fleet::UpstreamSignals decodeSignals(const net::Headers &headers);

/** Returns the names and decoders of the platform's upstreams. */
proxy::UpstreamProtocol upstreamProtocol();

} // namespace jackdawdoor::platform
