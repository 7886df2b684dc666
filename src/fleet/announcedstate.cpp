#include "fleet/announcedstate.h"

namespace jackdawdoor::fleet {

Duration AnnouncedState::timeUntilAllowed(TimePoint now) const
{
    return leaving ? Duration::max() : rateLimit.timeUntilAllowed(now);
}

bool AnnouncedState::active() const
{
    return leaving || rateLimit.active();
}

} // namespace jackdawdoor::fleet
