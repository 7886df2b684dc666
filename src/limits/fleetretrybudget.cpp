#include "limits/fleetretrybudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawdoor::limits {

namespace {

/** Fraction of the ratio that is deposited, and the balance's time constant as a fraction of the window. The balance at the
 * start of a window is at most the deposits of one time constant, so (1 + 1/3) x 0.75 = 1 window's worth can be spent. */
constexpr double depositedRatioFraction = 0.75;
constexpr double ratioDecayFraction = 1.0 / 3;
/** Likewise for the slack: (1 + 1) x 0.25 = half of it can be spent in a window, so that the bound also holds when each
 * instance knows of only half of the fleet's requests. */
constexpr double depositedSlackFraction = 0.25;
constexpr double slackDecayFraction = 1.0;
/** Time constant of the moving average of the fleet's request rate. */
constexpr Duration rateAveragingTime = std::chrono::seconds{2};
/** Fleet-wide rate that a starting instance assumes until it gets the reports of the others. */
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
    // The balance that decays faster is spent first.
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
    // Nothing decays before the first call.
    const Duration time = m_updated == TimePoint{} ? Duration::zero() : now - m_updated;
    const double window = toSeconds(m_limits.window);
    m_ratioBalance = decayed(m_ratioBalance, time, fromSeconds(window * ratioDecayFraction));
    m_slackBalance = decayed(m_slackBalance, time, fromSeconds(window * slackDecayFraction));
    m_recentRequests = decayed(m_recentRequests, time, rateAveragingTime);
    m_updated = now;
}

} // namespace jackdawdoor::limits
