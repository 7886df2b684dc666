/** A request from a caller, as the decision core sees it.
 *
 * The adapter keeps the body and the connection; the core decides from the head alone.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::core {

/** Number that the adapter gives to a request; unique within one incarnation. */
using RequestId = std::uint64_t;

/** Head of a complete request. */
struct CallerRequest {
    RequestId id = 0;
    ServiceId service; ///< from the first two path segments
    std::string method; ///< upper case
    std::string path; ///< the rest of the path, with its leading slash, without the query
    std::string organisation; ///< value of the contract's organisation header; may be empty
    std::string key; ///< value of the Idempotency-Key header; may be empty
    std::uint64_t bodyBytes = 0;
    std::uint64_t fingerprint = 0; ///< stable hash of method, path, query and body
    Duration deadline{}; ///< the caller's own deadline, counted from arrival; zero when it named none
    bool forwarded = false; ///< another instance received it; it must not be forwarded again

    bool operator==(const CallerRequest &) const = default;
};

} // namespace jackdawdoor::core
