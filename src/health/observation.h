/** What a holder observed of one attempt at an upstream.
 *
 * Observations are the only evidence about health: the upstreams' own health endpoints lag or mislead.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace jackdawdoor::health {

/** How an attempt ended, classified for health tracking. */
enum class OutcomeKind {
    Success, ///< a complete and correct answer
    Error, ///< an error status that is neither a shed response nor a caller's mistake
    Timeout, ///< no answer in time
    Reset, ///< the connection was closed or reset after bytes were sent
    ConnectFailed, ///< no connection could be opened
    WrongAnswer, ///< status, freshness or content type that the contract calls wrong
    ShortBody, ///< the body ended early or is shorter than the contract allows
    Shed, ///< 429, or 503 with Retry-After: load, not failure
    Abandoned, ///< cancelled by the instance or the caller before an answer; evidence only of the time that it took
};

/** Whether an attempt was an ordinary request or a probation trial. */
enum class AttemptKind {
    Ordinary,
    Trial,
};

/** Result of one attempt. */
struct Observation {
    UpstreamId upstream;
    OperationId operation;
    std::uint64_t attempt = 0; ///< number given to LocalHealth::attemptStarted
    OutcomeKind outcome = OutcomeKind::Success;
    Duration firstByte{}; ///< from dispatch to the first byte of the answer, or to the failure
    bool newConnection = false; ///< the attempt opened its own connection
    AttemptKind kind = AttemptKind::Ordinary;

    bool operator==(const Observation &) const = default;
};

/** Whether the outcome is evidence of a fault of the upstream. */
constexpr bool isFailure(OutcomeKind outcome)
{
    return outcome != OutcomeKind::Success && outcome != OutcomeKind::Shed && outcome != OutcomeKind::Abandoned;
}

} // namespace jackdawdoor::health
