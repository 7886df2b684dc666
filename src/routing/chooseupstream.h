/** Choice of an upstream for one attempt. */
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

/** What matters of the request. */
struct RoutingRequest {
    OperationId operation;
    bool idempotent = false;
    std::vector<UpstreamId> excluded; ///< upstreams that this request's earlier attempts used

    bool operator==(const RoutingRequest &) const = default;
};

/** An upstream of the service. */
struct RoutingCandidate {
    UpstreamId upstream;
    health::UpstreamState state;
    int freeSlots = 0; ///< leased and not in use, from limits::SlotHolder
    Duration expectedLatency{}; ///< from health::LocalHealth for this operation

    bool operator==(const RoutingCandidate &) const = default;
};

/** Why an upstream was chosen. */
enum class ChoiceReason {
    Trial, ///< a probation trial was due
    Check, ///< a suspect upstream is looked at more closely
    Unused, ///< it had no request for a while, and a fault there would go unseen
    ShorterWait, ///< the better of two random choices
    OnlyOne, ///< no alternative
    LastResort, ///< only suspects are left
    NoSlot, ///< nothing chosen: usable upstreams have no free slot
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
    Ramping, ///< it gets only a share of the traffic for now
    NotPreferred, ///< usable, but outside of the working set of this holder
    LongerWait,
    NotDrawn, ///< usable, but not among the candidates compared
};

/** An alternative, by index in the candidates. */
struct PassedOver {
    std::size_t candidate = 0;
    PassedOverReason reason = PassedOverReason::NotDrawn;

    bool operator==(const PassedOver &) const = default;
};

/** The choice with its reasons. */
struct RoutingDecision {
    std::optional<std::size_t> choice; ///< index in the candidates
    ChoiceReason reason = ChoiceReason::NoUpstream;
    health::AttemptKind kind = health::AttemptKind::Ordinary;
    bool newConnection = false; ///< the attempt must open a new connection
    std::vector<PassedOver> passedOver; ///< every other candidate

    bool operator==(const RoutingDecision &) const = default;
};

/** Name of a reason in logs, such as "shorter-wait". */
std::string reasonName(ChoiceReason reason);
std::string reasonName(PassedOverReason reason);

/** The alternatives with their reasons as one phrase for the log. */
std::string describePassedOver(const RoutingDecision &decision, const std::vector<RoutingCandidate> &candidates);

/** Chooses an upstream: a due trial, then a due check, then one unused for long, then the better of two random ones. */
RoutingDecision
chooseUpstream(TimePoint now, const RoutingRequest &request, const std::vector<RoutingCandidate> &candidates, RandomSource &random);

} // namespace jackdawdoor::routing
