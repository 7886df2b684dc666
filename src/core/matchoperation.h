/** Matching of requests with operations. */
#pragma once

#include "contract/policy.h"

#include <string_view>

namespace jackdawdoor::core {

/** The operation with this method and the longest matching path prefix; nullptr when there is none.
 *
 * A prefix matches whole path segments: "/claims" matches "/claims" and "/claims/7" but not "/claimsets".
 */
const contract::OperationPolicy *matchOperation(const contract::ServicePolicy &service, std::string_view method, std::string_view path);

} // namespace jackdawdoor::core
