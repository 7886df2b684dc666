#include "fleet/fleetratelimit.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** Lower bound in requests a second, since only the answer to a request tells that a limit has ended. */
constexpr double minimumRate = 0.1;
/** Upper bound in requests a second, which keeps the arithmetic finite. */
constexpr double maximumRate = 1e6;
/** Size of the bucket, as the requests of this time. */
constexpr Duration burstTime = std::chrono::milliseconds{250};
/** Maximum debt, as the requests of this time, so that a wrong count does not keep requests from an upstream for long. */
constexpr Duration maximumDebtTime = std::chrono::seconds{4};
/** Time until the other instances know of a request: the period of notices and the transmission. */
constexpr Duration noticeTime = std::chrono::milliseconds{50};

} // namespace

void FleetRateLimit::set(TimePoint now, double requestsPerSecond)
{
    if (!(requestsPerSecond >= 0)) {
        return;
    }
    // The bucket starts empty, since recent requests of other instances are unknown.
    m_tokens = m_active ? tokens(now) : 0;
    m_updated = now;
    m_active = true;
    m_announced = std::min(requestsPerSecond, maximumRate);
}

void FleetRateLimit::clear()
{
    m_active = false;
}

bool FleetRateLimit::active() const
{
    return m_active;
}

double FleetRateLimit::requestsPerSecond() const
{
    return m_announced;
}

double FleetRateLimit::rate() const
{
    return std::max(m_announced, minimumRate);
}

double FleetRateLimit::tokens(TimePoint now) const
{
    const double mostTokens = std::max(1.0, rate() * toSeconds(burstTime));
    return std::min(mostTokens, m_tokens + rate() * toSeconds(now - m_updated));
}

void FleetRateLimit::count(TimePoint now, int requests)
{
    if (!m_active) {
        return;
    }
    const double mostDebt = std::max(1.0, rate() * toSeconds(maximumDebtTime));
    m_tokens = std::max(-mostDebt, tokens(now) - requests);
    m_updated = now;
}

Duration FleetRateLimit::timeUntilAllowed(TimePoint now) const
{
    const double missing = m_active ? 1 - tokens(now) : 0;
    return missing <= 0 ? Duration::zero() : fromSeconds(missing / rate());
}

double FleetRateLimit::admissionProbability(double serviceRequestsPerSecond)
{
    return std::min(1.0, 1 / std::max(1.0, serviceRequestsPerSecond * toSeconds(noticeTime)));
}

} // namespace jackdawdoor::fleet
