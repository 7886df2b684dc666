#include "limits/scarcecapacity.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::limits {

namespace {

/** Time constant of the decaying counts: short against a burst of some seconds, long against the gaps between requests. */
constexpr Duration averagingTime = std::chrono::seconds{2};
/** Priorities beyond this count as this one, so that the counts are bounded. */
constexpr int lowestPriority = 15;
/** A few urgent requests find a free slot anyway; holding the others back for them would only leave upstreams idle. */
constexpr double significantShare = 0.05;
/** Some queue remains, since an upstream without any is idle until the next request reaches it. */
constexpr double yieldingQueueShare = 0.2;
/** More urgent requests that are refused come back first. */
constexpr double yieldingRetryAfterFactor = 3;

double decay(Duration time)
{
    return std::exp(-toSeconds(std::max(time, Duration::zero())) / toSeconds(averagingTime));
}

} // namespace

void PriorityDemand::add(TimePoint now, int priority)
{
    Recent &recent = m_byPriority[std::clamp(priority, 0, lowestPriority)];
    recent = {recent.requests * decay(now - recent.updated) + 1, now};
}

double PriorityDemand::moreUrgentShare(TimePoint now, int priority) const
{
    double all = 0;
    double moreUrgent = 0;
    for (const auto &[other, recent] : m_byPriority) {
        const double requests = recent.requests * decay(now - recent.updated);
        all += requests;
        moreUrgent += other < std::clamp(priority, 0, lowestPriority) ? requests : 0;
    }
    return all > 0 ? moreUrgent / all : 0;
}

CapacityUse capacityUseFor(double moreUrgentShare)
{
    return moreUrgentShare < significantShare ? CapacityUse{} : CapacityUse{yieldingQueueShare, yieldingRetryAfterFactor};
}

} // namespace jackdawdoor::limits
