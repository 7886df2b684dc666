/** Names of the HTTP headers that callers, instances and upstreams exchange about a request. */
#pragma once

#include <string>

namespace jackdawdoor::proxy {

/** Supplied by the platform adapter, so that the proxy is independent of the names. */
struct HeaderNames {
    std::string requestId; ///< id of one attempt of a caller; upstreams echo it in their answers
    std::string deadline; ///< milliseconds that the sender waits for the answer
    std::string signature; ///< present only in an upstream's own answers
    std::string intendedUpstream; ///< id of the only upstream that may run the request
    std::string notRun; ///< the upstream states that it did not run the request
    std::string organisation; ///< name of the caller's organisation, for the upstream

    bool operator==(const HeaderNames &) const = default;
};

} // namespace jackdawdoor::proxy
