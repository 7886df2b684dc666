#include "limits/fleetretrybudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawdoor::limits {

namespace {

/** Part of the ratio that is deposited, and part of the window in which these savings decay. Savings at the start of a
 * window are at most the deposits of the decay time, so (1 + 1/3) x 0.75 = 1 window's worth can be spent in a window. */
constexpr double depositedRatioFraction = 0.75;
constexpr double ratioDecayFraction = 1.0 / 3;
/** Likewise for the slack: (1 + 1) x 0.25 = half of it can be spent in a window, so that an instance may know of only half
 * of the fleet's requests. */
constexpr double depositedSlackFraction = 0.25;
constexpr double slackDecayFraction = 1.0;
/** Time constant of the fleet's request rate. */
constexpr Duration rateAveragingTime = std::chrono::seconds{2};
/** Rate that a starting instance assumes until it has heard of the fleet's requests, in requests per second. */
constexpr double initialRequestsPerSecond = 20;

double decayed(double value, Duration time, Duration timeConstant)
{
    return value * std::exp(-toSeconds(time) / toSeconds(timeConstant));
}

} // namespace

FleetRetryBudget::FleetRetryBudget(const FleetRetryLimits &limits)
    : m_limits(limits)
    , m_recentRequests(initialRequestsPerSecond * toSeconds(rateAveragingTime))
{
}

void FleetRetryBudget::onOriginal(TimePoint now)
{
    advance(now);
    m_recentRequests += 1;
    ++m_unreported;
    m_ratioBalance += m_limits.ratio * depositedRatioFraction;
    const double requestsPerWindow = requestsPerSecond(now) * toSeconds(m_limits.window);
    m_slackBalance += std::min(1.0, m_limits.slack * depositedSlackFraction / requestsPerWindow);
}

void FleetRetryBudget::onRemoteRequests(TimePoint now, int requests)
{
    advance(now);
    m_recentRequests += std::max(0, requests);
}

bool FleetRetryBudget::allows(TimePoint now)
{
    advance(now);
    return m_ratioBalance + m_slackBalance >= 1;
}

bool FleetRetryBudget::tryRetry(TimePoint now)
{
    if (!allows(now)) {
        return false;
    }
    // The savings that decay faster are spent first.
    const double spent = std::min(m_ratioBalance, 1.0);
    m_ratioBalance -= spent;
    m_slackBalance -= 1 - spent;
    return true;
}

double FleetRetryBudget::requestsPerSecond(TimePoint now)
{
    advance(now);
    return m_recentRequests / toSeconds(rateAveragingTime);
}

int FleetRetryBudget::takeUnreportedRequests()
{
    return std::exchange(m_unreported, 0);
}

void FleetRetryBudget::advance(TimePoint now)
{
    if (now <= m_updated) {
        return;
    }
    // The first call has no earlier time.
    const Duration time = m_updated == TimePoint{} ? Duration::zero() : now - m_updated;
    const double window = toSeconds(m_limits.window);
    m_ratioBalance = decayed(m_ratioBalance, time, fromSeconds(window * ratioDecayFraction));
    m_slackBalance = decayed(m_slackBalance, time, fromSeconds(window * slackDecayFraction));
    m_recentRequests = decayed(m_recentRequests, time, rateAveragingTime);
    m_updated = now;
}

} // namespace jackdawdoor::limits
