/** What one incarnation of an upstream has said about itself in its answers, as known to one instance.
 *
 * It takes precedence over what the platform's store, the load and the health estimate say of the upstream: chooseUpstream()
 * asks it for each attempt, for whatever reason the attempt is made.
 */
#pragma once

#include "fleet/fleetratelimit.h"

namespace jackdawdoor::fleet {

/** Announcements in force. */
struct AnnouncedState {
    FleetRateLimit rateLimit;
    /** The process is about to end. Nothing takes this back: the next process at the address is another incarnation. */
    bool leaving = false;
    TimePoint leavingSince{};
    /** End of the time for which it wants no request from this instance. Not known to the other instances, since it concerns
     * this one only. */
    TimePoint restUntil{};
    TimePoint restSince{};

    /** The upstream announces that it leaves. Returns false if that was known. */
    bool setLeaving(TimePoint now);

    /** The upstream asks for a rest. A shorter one does not end an earlier one sooner. */
    void setRest(TimePoint now, Duration rest);

    /** Returns the time until the next request may be sent: zero if it may be sent now, Duration::max() if none ever may. */
    Duration timeUntilAllowed(TimePoint now) const;

    /** True while any announcement is in force. */
    bool active(TimePoint now) const;

    /** True while the upstream wants no request from this instance. */
    bool resting(TimePoint now) const;
};

} // namespace jackdawdoor::fleet
