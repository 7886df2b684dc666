/** A request from a caller, as the decision core sees it.
 *
 * The adapter keeps the body and the connection. The core decides by the head alone.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::core {

/** Number of a request, assigned by the adapter; unique within one incarnation. */
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
    Duration deadline{}; ///< the caller's deadline, relative to arrival; zero when it sent none
    bool forwarded = false; ///< forwarded by another instance; must not be forwarded again

    bool operator==(const CallerRequest &) const = default;
};

} // namespace jackdawdoor::core
