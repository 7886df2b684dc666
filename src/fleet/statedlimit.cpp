#include "fleet/statedlimit.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** Requests a second below which a limit has no further effect. Answers to a few requests tell when the limit ends. */
constexpr double minimumRate = 0.1;
/** A higher limit is of no interest to one service. */
constexpr double maximumRate = 1e6;
/** Requests of this time may be sent at once after a pause. */
constexpr Duration burstTime = std::chrono::milliseconds{250};
/** At most the requests of this time are paid back, so that an upstream is not left without any for long. */
constexpr Duration maximumDebtTime = std::chrono::seconds{4};
/** Time until the other instances know of a request: the period of notices and the way. */
constexpr Duration noticeTime = std::chrono::milliseconds{50};

} // namespace

void StatedLimit::set(TimePoint now, double requestsPerSecond)
{
    if (!(requestsPerSecond >= 0)) {
        return;
    }
    // Requests that the upstream got just before are not known here, so a new limit begins without a free token.
    m_tokens = m_active ? tokens(now) : 0;
    m_updated = now;
    m_active = true;
    m_stated = std::min(requestsPerSecond, maximumRate);
}

void StatedLimit::clear()
{
    m_active = false;
}

bool StatedLimit::active() const
{
    return m_active;
}

double StatedLimit::requestsPerSecond() const
{
    return m_stated;
}

double StatedLimit::rate() const
{
    return std::max(m_stated, minimumRate);
}

double StatedLimit::tokens(TimePoint now) const
{
    const double mostTokens = std::max(1.0, rate() * toSeconds(burstTime));
    return std::min(mostTokens, m_tokens + rate() * toSeconds(now - m_updated));
}

void StatedLimit::count(TimePoint now, int requests)
{
    if (!m_active) {
        return;
    }
    const double mostDebt = std::max(1.0, rate() * toSeconds(maximumDebtTime));
    m_tokens = std::max(-mostDebt, tokens(now) - requests);
    m_updated = now;
}

Duration StatedLimit::timeUntilAllowed(TimePoint now) const
{
    const double missing = m_active ? 1 - tokens(now) : 0;
    return missing <= 0 ? Duration::zero() : fromSeconds(missing / rate());
}

double StatedLimit::fairShare(double serviceRequestsPerSecond)
{
    return std::min(1.0, 1 / std::max(1.0, serviceRequestsPerSecond * toSeconds(noticeTime)));
}

} // namespace jackdawdoor::fleet
