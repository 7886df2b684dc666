/** Decodes the headers in which upstreams report their own state. */
#pragma once

#include "proxy/upstreamprotocol.h"

namespace jackdawdoor::platform {

/** Returns the signals in the head of an answer. An unusable value is logged and ignored. Of several usable values the most
 * cautious one counts: the lowest rate limit, the longest Retry-After. */
fleet::UpstreamSignals decodeSignals(int status, const net::Headers &headers);

/** Returns the names and decoders of the platform's upstreams. */
proxy::UpstreamProtocol upstreamProtocol();

} // namespace jackdawdoor::platform
