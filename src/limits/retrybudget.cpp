#include "limits/retrybudget.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Ten deposits of 0.1 add up to slightly less than 1 in floating point. */
constexpr double roundingMargin = 1e-9;

} // namespace

RetryBudget::RetryBudget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
{
}

void RetryBudget::onOriginal()
{
    m_balance = std::min(m_balance + m_ratio, m_burst);
}

bool RetryBudget::tryRetry()
{
    if (m_balance + roundingMargin < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

void RetryBudget::onRetryFailed()
{
    m_balance = std::max(m_balance - 1, -m_burst);
}

double RetryBudget::balance() const
{
    return m_balance;
}

} // namespace jackdawdoor::limits
