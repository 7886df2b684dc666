/** State that an upstream reports about itself in the head of an answer. Decoded by the platform adapter. */
#pragma once

#include <optional>

namespace jackdawdoor::fleet {

/** Signals of one answer. */
struct UpstreamSignals {
    /** Fleet-wide rate limit in requests a second, in force while answers announce it. */
    std::optional<double> rateLimit;

    bool operator==(const UpstreamSignals &) const = default;
};

} // namespace jackdawdoor::fleet
