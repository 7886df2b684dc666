/** One operation of a service: the requests of one method below one path prefix. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::contract {

/** An operation. Use OperationBuilder to make one in code. */
struct Operation {
    std::string name; ///< unique within the service
    std::string method; ///< HTTP method, upper case
    std::string pathPrefix; ///< starts with a slash; the longest matching prefix selects the operation
    bool idempotent = false; ///< may be run more than once
    bool keyRequired = true; ///< requests without an idempotency key are refused; false for idempotent operations
    Duration usefulWithin{}; ///< from the request's arrival; a later first byte is of no use to the caller
    std::uint64_t largestRequest = 0; ///< bytes of a request body
    std::uint64_t largestAnswer = 0; ///< bytes of an answer body
    WrongAnswerRule wrongAnswer;

    bool operator==(const Operation &) const = default;
};

} // namespace jackdawdoor::contract
