/** Decides which requests yield when a service lacks capacity.
 *
 * Used when the requests of a service exceed its capacity, for example in a burst from one organisation or after the loss of many
 * upstreams. Less urgent requests may use only a small part of the queue at each upstream, so that more urgent ones find it short.
 * When there is no room, they wait at the instance and are then refused with a longer Retry-After. Each instance decides for
 * itself, from the requests that it has received lately. A service whose requests all have the same priority is not affected.
 */
#pragma once

#include "base/time.h"

#include <map>

namespace jackdawdoor::limits {

/** Recent requests of one service at this instance, by priority. */
class PriorityDemand
{
public:
    /** A request has arrived. priority: 0 is the highest. */
    void add(TimePoint now, int priority);

    /** Returns the share of the recent requests that have a higher priority than the given one. */
    double moreUrgentShare(TimePoint now, int priority) const;

private:
    struct Recent {
        double requests = 0; ///< exponentially decaying
        TimePoint updated{};
    };

    std::map<int, Recent> m_byPriority;
};

/** What a request may use of a service with little capacity. */
struct CapacityUse {
    double queueShare = 1; ///< of the room for queued requests at each upstream
    double retryAfterFactor = 1; ///< of the usual Retry-After if it is refused for lack of capacity

    bool operator==(const CapacityUse &) const = default;
};

/** Returns what a request may use when that share of the recent requests is more urgent. */
CapacityUse capacityUseFor(double moreUrgentShare);

} // namespace jackdawdoor::limits
