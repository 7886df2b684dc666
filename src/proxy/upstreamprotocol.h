/** What the platform adapter tells the proxy about the messages of upstreams. */
#pragma once

#include "fleet/upstreamsignals.h"
#include "net/httpmessage.h"
#include "proxy/headernames.h"

#include <functional>

namespace jackdawdoor::proxy {

/** Header names, and the decoder of the state that upstreams report about themselves. */
struct UpstreamProtocol {
    HeaderNames names;
    std::function<fleet::UpstreamSignals(int status, const net::Headers &)> decodeSignals;
};

} // namespace jackdawdoor::proxy
