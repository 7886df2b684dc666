/** Decides which requests give way when a service has too little capacity.
 *
 * Answers a load of requests with different priorities on one service that is larger than the service's capacity, such as a burst
 * of one organisation or a service that has lost many upstreams. Less urgent requests are not queued behind others at an
 * upstream, so that more urgent ones find its queue short: they wait at the instance for a free slot and are then refused, with a
 * later Retry-After. Each instance decides for itself, from the requests that it has received lately. A service all of whose
 * requests have the same priority is not affected.
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
