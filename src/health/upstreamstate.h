/** Health of one upstream as routing uses it. */
#pragma once

#include "base/time.h"

#include <string>

namespace jackdawdoor::health {

/** Health status of an upstream; decides whether it gets requests. */
enum class Standing {
    Healthy,
    Suspect, ///< some evidence of a fault; checks gather more
    Ejected,
    Probation, ///< ejected, and a trial may be sent now
    Ramping, ///< returned a short while ago
    Cold, ///< started a short while ago
    Draining,
    Leaving,
};

/** Name of a standing in logs, such as "ejected". */
std::string standingName(Standing standing);

/** Input of routing about one upstream. */
struct UpstreamState {
    Standing standing = Standing::Healthy;
    bool trialDue = false; ///< an idempotent request should be sent now as a trial (AttemptKind::Trial)
    bool checkDue = false; ///< suspect, or to be confirmed for the coordinator: the next idempotent request should go here
    bool preferred = true; ///< in this holder's UpstreamSubset
    bool newConnection = false; ///< attempts should open a new connection
    double share = 1; ///< share of normal traffic, below 1 while ramping
    int inProgress = 0; ///< attempts running now
    Duration idleTime{}; ///< since an attempt was last started
    double severity = 0; ///< of the fault; higher is worse

    bool operator==(const UpstreamState &) const = default;
};

} // namespace jackdawdoor::health
