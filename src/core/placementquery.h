/** Placement: which instances a caller should use. */
#pragma once

#include "base/ids.h"
#include "core/effect.h"
#include "core/refusal.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** A caller's placement query. */
struct PlacementQuery {
    ServiceId service;
    std::string caller; ///< identifier chosen by the caller; the same identifier yields the same order of addresses

    bool operator==(const PlacementQuery &) const = default;
};

/** Answer to a placement query. */
struct PlacementReply {
    std::optional<Refusal> refusal; ///< set when no contract in force has the service
    std::vector<std::string> addresses; ///< "ip:port" for callers, in order of preference
    Duration hold{}; ///< how long the caller may keep the answer
    std::string ticket; ///< for creating idempotency keys; empty when no home and witness are available
    Duration ticketLifetime{};
    LogDecision decision; ///< for the log

    bool operator==(const PlacementReply &) const = default;
};

} // namespace jackdawdoor::core
