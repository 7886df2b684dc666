/** Selects upstreams that need a request even though others have a lower cost.
 *
 * The floor: a share of the ready upstreams must each have had a request recently. Requests go to those of the idle ones that
 * are least likely gray, and to no more than the floor lacks, because a failure without a retry loses the request.
 * Exploration: requests also go to new upstreams, and to idle ones that are probably healthy. Retryable requests accept a
 * higher probability of a failure.
 */
#pragma once

#include "fleet/upstreamchoice.h"

#include <limits>
#include <vector>

namespace jackdawdoor::fleet {

/** Coverage by one request. */
class Coverage
{
public:
    /** Considers an upstream to which the request may be sent. */
    void consider(TimePoint now, UpstreamRecord &record, double grayProbability, const ChoiceRequest &request, RandomSource &random);

    /** Returns the upstream that this request should cover, or nullptr. ready: number of usable upstreams. */
    UpstreamRecord *pick(const ChoiceRequest &request, int ready, RandomSource &random);

private:
    double wantedForFloor(const ChoiceRequest &request, int ready);

    std::vector<Duration> m_idleTimes;
    UpstreamRecord *m_floorCandidate = nullptr; ///< about the least likely gray of the idle upstreams
    double m_floorScore = std::numeric_limits<double>::max();
    UpstreamRecord *m_due = nullptr; ///< due upstream with about the longest idle time
    double m_dueIdleSeconds = 0;
    int m_dueCount = 0;
};

} // namespace jackdawdoor::fleet
