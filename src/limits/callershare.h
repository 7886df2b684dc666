/** Share of the descriptors of a process for callers' connections, and which of these gives way to a new one. */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** Descriptors of a process by use. */
struct DescriptorShares {
    std::size_t callers = 1326; ///< connections from callers
    std::size_t idleUpstreams = 390; ///< idle connections to upstreams; those in use need at most about as many as callers
    std::size_t directory = 390; ///< connections from callers to the directory
    std::size_t calls = 117; ///< connections to each other port: readiness, metrics and other instances

    bool operator==(const DescriptorShares &) const = default;
};

/** Shares of that many descriptors. Zero: the default, which is that of the smallest machines. */
DescriptorShares descriptorSharesFor(std::size_t descriptors);

/** What a caller's connection does. */
struct ConnectionState {
    enum class Phase {
        Closing, ///< has its last answer and is given time to close
        Idle, ///< has all answers
        Receiving, ///< part of a request has arrived
        Busy, ///< its request is complete, or an answer has not been delivered
    };

    std::uint64_t id = 0;
    Phase phase = Phase::Idle;
    TimePoint since{}; ///< when it became idle, or when its request last progressed

    bool operator==(const ConnectionState &) const = default;
};

/** Connection that is closed for a new one: the one that has been closing for longest, else the longest idle one, else the one whose
 * request has stood still for longest and at least for a while. Nothing if there is none. */
std::optional<std::uint64_t> connectionToClose(TimePoint now, const std::vector<ConnectionState> &connections);

} // namespace jackdawdoor::limits
