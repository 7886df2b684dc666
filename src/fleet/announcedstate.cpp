#include "fleet/announcedstate.h"

#include <algorithm>

namespace jackdawdoor::fleet {

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
