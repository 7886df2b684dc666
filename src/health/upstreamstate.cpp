#include "health/upstreamstate.h"

namespace jackdawdoor::health {

std::string standingName(Standing standing)
{
    switch (standing) {
    case Standing::Healthy:
        return "healthy";
    case Standing::Suspect:
        return "suspect";
    case Standing::Ejected:
        return "ejected";
    case Standing::Probation:
        return "probation";
    case Standing::Ramping:
        return "ramping";
    case Standing::Cold:
        return "cold";
    case Standing::Draining:
        return "draining";
    case Standing::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace jackdawdoor::health
