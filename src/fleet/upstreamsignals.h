/** State that an upstream reports about itself in the head of an answer. Decoded by the platform adapter. */
#pragma once

#include "base/time.h"

#include <optional>

namespace jackdawdoor::fleet {

/** Signals of one answer. */
struct UpstreamSignals {
    /** Fleet-wide rate limit in requests a second, in force while answers announce it. */
    std::optional<double> rateLimit;
    /** The upstream's process is about to end; in force until it has ended. */
    bool leaving = false;
    /** The upstream rejected the request and wants none from this instance for so long. */
    std::optional<Duration> retryAfter = std::nullopt;

    bool operator==(const UpstreamSignals &) const = default;
};

} // namespace jackdawdoor::fleet
