#include "fleet/announcedstate.h"

#include <algorithm>

namespace jackdawdoor::fleet {

bool AnnouncedState::setLeaving(TimePoint now)
{
    if (leaving) {
        return false;
    }
    leaving = true;
    leavingSince = now;
    return true;
}

void AnnouncedState::setRest(TimePoint now, Duration rest)
{
    restSince = resting(now) ? restSince : now;
    restUntil = std::max(restUntil, now + rest);
}

Duration AnnouncedState::timeUntilAllowed(TimePoint now) const
{
    if (leaving) {
        return Duration::max();
    }
    const Duration rest = resting(now) ? restUntil - now : Duration::zero();
    return std::max(rest, rateLimit.timeUntilAllowed(now));
}

bool AnnouncedState::active(TimePoint now) const
{
    return leaving || rateLimit.active() || resting(now);
}

bool AnnouncedState::resting(TimePoint now) const
{
    return now < restUntil;
}

} // namespace jackdawdoor::fleet
