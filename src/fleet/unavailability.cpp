#include "fleet/unavailability.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** A caller that returns after this time finds the upstreams that take the place of those that leave now: their entries have
 * reached all instances. */
constexpr Duration newUpstreamTime = std::chrono::seconds{1};

} // namespace

Unavailability::Unavailability(bool anyUpstream)
    : m_allLeaving(anyUpstream)
{
}

void Unavailability::considerStaying(TimePoint now, const UpstreamRecord &record, Duration wait)
{
    m_allLeaving = false;
    m_retryAfter = std::min(m_retryAfter, wait);
    m_anyResting = m_anyResting || record.announced.resting(now);
}

void Unavailability::considerAnnounced(Duration wait)
{
    m_anyAnnounced = true;
    m_wait = std::min(m_wait, wait);
}

void Unavailability::considerUnreachable(Duration wait)
{
    m_anyUnreachable = true;
    m_wait = std::min(m_wait, wait);
}

void Unavailability::explain(UpstreamChoice &choice) const
{
    if (m_allLeaving) {
        choice.reason = ChoiceReason::AllLeaving;
        choice.wait = newUpstreamTime;
        choice.retryAfter = newUpstreamTime;
        return;
    }
    // A request that has tried all upstreams need not wait if their announcements keep out a new request as well.
    const bool allTriedRestricted = !m_anyUnreachable && m_retryAfter > Duration::zero() && m_retryAfter < Duration::max();
    if (m_anyAnnounced || allTriedRestricted) {
        choice.reason = m_anyResting ? ChoiceReason::Resting : ChoiceReason::RateLimited;
        choice.wait = m_wait;
        choice.retryAfter = m_retryAfter;
    }
}

} // namespace jackdawdoor::fleet
