/** Subsetting: a holder with little traffic uses only some of the upstreams. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "contract/policy.h"

#include <cstddef>
#include <vector>

namespace jackdawdoor::health {

/** Chooses few enough upstreams that each gets the request rate that a fast detection of faults requires.
 *
 * With 20 requests/s over 25 upstreams, an upstream gets a request every 1.25 s, and a fault there could not be
 * detected within 1 s. Each instance ranks the upstreams by rendezvous hashing, so that different instances use different ones.
 */
class UpstreamSubset
{
public:
    UpstreamSubset(const contract::ServicePolicy &policy, const InstanceId &self);

    /** Counts an ordinary request. */
    void onRequest(TimePoint now);

    /** Recomputes the subset of the usable upstreams; to be called periodically and when these change. */
    void update(TimePoint now, const std::vector<bool> &usable);

    bool contains(std::size_t upstream) const;

private:
    double requestsPerSecond(TimePoint now) const;

    std::vector<std::size_t> m_order; ///< upstreams by descending rendezvous weight for this instance
    std::size_t m_size;
    std::vector<bool> m_chosen;
    double m_rate = 0; ///< requests per second at m_updated
    TimePoint m_updated;
};

} // namespace jackdawdoor::health
