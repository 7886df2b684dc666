/** Fleet-wide bound on the retries of a service. */
#pragma once

#include "base/time.h"

namespace jackdawdoor::limits {

/** In any window a service may get this many arrivals beyond the first of each request: ratio x requests + slack. */
struct FleetRetryLimits {
    double ratio = 0.2; ///< repeats per request of the service
    double slack = 64; ///< repeats beyond the ratio in a window, of all instances together
    Duration window = std::chrono::seconds{10};

    bool operator==(const FleetRetryLimits &) const = default;
};

} // namespace jackdawdoor::limits
