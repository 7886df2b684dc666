/** What an upstream says about itself in the head of an answer. Decoded by the platform adapter. */
#pragma once

#include <optional>

namespace jackdawdoor::fleet {

/** Signals of one answer. */
struct UpstreamSignals {
    /** Requests a second that the upstream takes from all instances together, while its answers say so. */
    std::optional<double> requestLimit;

    bool operator==(const UpstreamSignals &) const = default;
};

} // namespace jackdawdoor::fleet
