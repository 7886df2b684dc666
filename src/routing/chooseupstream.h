/** Upstream selection for one attempt. */
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "health/localhealth.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::routing {

/** Properties of the request that affect the choice. */
struct RoutingRequest {
    OperationId operation;
    bool idempotent = false;
    std::vector<UpstreamId> excluded; ///< upstreams used by earlier attempts of this request

    bool operator==(const RoutingRequest &) const = default;
};

/** State of an upstream of the service. */
struct RoutingCandidate {
    UpstreamId upstream;
    health::UpstreamState state;
    int freeSlots = 0; ///< leased slots not in use, from limits::SlotHolder
    Duration expectedLatency{}; ///< from health::LocalHealth for this operation

    bool operator==(const RoutingCandidate &) const = default;
};

/** Why an upstream was chosen. */
enum class ChoiceReason {
    Trial, ///< a probation trial was due
    Check, ///< a suspect upstream needs more samples
    Unused, ///< without recent requests, a fault would go undetected
    ShorterWait, ///< the better of two random candidates
    OnlyOne, ///< the only usable upstream
    LastResort, ///< only suspect or ramping upstreams are available
    NoSlot, ///< nothing chosen: the usable upstreams have no free slot
    NoUpstream, ///< nothing chosen: no usable upstream
};

/** Why an upstream was not chosen. */
enum class PassedOverReason {
    Excluded,
    Ejected,
    Draining,
    Leaving,
    NoSlot,
    Suspect,
    Ramping, ///< it receives only a share of the traffic for now
    NotPreferred, ///< usable, but outside this holder's working set
    LongerWait,
    NotDrawn, ///< usable, but not sampled
};

/** A candidate that was not chosen. */
struct PassedOver {
    std::size_t candidate = 0; ///< index in the candidates
    PassedOverReason reason = PassedOverReason::NotDrawn;

    bool operator==(const PassedOver &) const = default;
};

/** The chosen upstream, and why the others were passed over. */
struct RoutingDecision {
    std::optional<std::size_t> choice; ///< index in the candidates
    ChoiceReason reason = ChoiceReason::NoUpstream;
    health::AttemptKind kind = health::AttemptKind::Ordinary;
    bool newConnection = false; ///< the attempt must open a new connection
    std::vector<PassedOver> passedOver; ///< every other candidate

    bool operator==(const RoutingDecision &) const = default;
};

/** Returns the name used in logs, such as "shorter-wait". */
std::string reasonName(ChoiceReason reason);
std::string reasonName(PassedOverReason reason);

/** Lists the candidates that were not chosen and the reasons, for the log. */
std::string describePassedOver(const RoutingDecision &decision, const std::vector<RoutingCandidate> &candidates);

/** Chooses an upstream: one with a due trial, else with a due check, else without recent requests, else the better of two
 * random candidates. */
RoutingDecision
chooseUpstream(TimePoint now, const RoutingRequest &request, const std::vector<RoutingCandidate> &candidates, RandomSource &random);

} // namespace jackdawdoor::routing
