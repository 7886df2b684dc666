/** What health tells routing about one upstream. */
#pragma once

#include "base/time.h"

#include <string>

namespace jackdawdoor::health {

/** Why an upstream gets or does not get work. */
enum class Standing {
    Healthy,
    Suspect, ///< some evidence of a fault; more is being gathered
    Ejected,
    Probation, ///< ejected, and a trial may be sent now
    Ramping, ///< returned a short while ago
    Cold, ///< started a short while ago
    Draining,
    Leaving,
};

/** Name of a standing in logs, such as "ejected". */
std::string standingName(Standing standing);

/** What routing needs to know of one upstream. */
struct UpstreamState {
    Standing standing = Standing::Healthy;
    bool trialDue = false; ///< an idempotent request should be sent now as a trial (AttemptKind::Trial)
    bool checkDue = false; ///< suspect, or a second opinion is wanted: the next idempotent request should go here
    bool preferred = true; ///< one of the upstreams that this holder concentrates its work on
    bool newConnection = false; ///< attempts should open a new connection
    double share = 1; ///< share of normal traffic, below 1 while ramping
    int inProgress = 0; ///< attempts running now
    Duration idleTime{}; ///< since an attempt was last started
    double severity = 0; ///< how bad it is

    bool operator==(const UpstreamState &) const = default;
};

} // namespace jackdawdoor::health
