/** The Keep-Alive header of answers. */
#pragma once

#include "base/time.h"
#include "net/httpmessage.h"

#include <optional>

namespace jackdawdoor::proxy {

/** How long an idle connection may be kept by an answer's Keep-Alive header, such as "timeout=5, max=100", so that this side closes
 * it first. Nothing if the header states no timeout. */
std::optional<Duration> keepAliveLimit(const net::Headers &headers);

} // namespace jackdawdoor::proxy
