/** A caller's question which instances to use, and its answer. */
#pragma once

#include "base/ids.h"
#include "core/effect.h"
#include "core/refusal.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** The question. */
struct PlacementQuery {
    ServiceId service;
    std::string caller; ///< chosen by the caller; the same one gives the same order of addresses

    bool operator==(const PlacementQuery &) const = default;
};

/** The answer. */
struct PlacementReply {
    std::optional<Refusal> refusal; ///< set when the service is not known or nothing can serve it
    std::vector<std::string> addresses; ///< "ip:port" for callers, in the order of preference
    Duration hold{}; ///< how long the caller may keep the answer
    std::string ticket; ///< for idempotency keys; empty when no pair of home and witness is live
    Duration ticketLifetime{};
    LogDecision decision; ///< for the log

    bool operator==(const PlacementReply &) const = default;
};

} // namespace jackdawdoor::core
