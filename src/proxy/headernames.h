/** Names of the headers by which callers, instances and upstreams tell each other about a request. */
#pragma once

#include <string>

namespace jackdawdoor::proxy {

/** Given by the adapter to the platform; the proxy itself knows none of them. */
struct HeaderNames {
    std::string requestId; ///< of one attempt of a caller; upstreams repeat it in their answers
    std::string deadline; ///< milliseconds that the sender will wait
    std::string signature; ///< only an upstream's own answer has it
    std::string intendedUpstream; ///< id of the only upstream that may run the request
    std::string notRun; ///< the upstream states that it did not run the request

    bool operator==(const HeaderNames &) const = default;
};

} // namespace jackdawdoor::proxy
