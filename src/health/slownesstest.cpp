#include "health/slownesstest.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

constexpr double toleratedSlowness = 2.0;
/** Keeps the two hypotheses apart when the slow ratio is close to the tolerated slowness. */
constexpr double maximumToleratedFraction = 0.65;

double upperTail(double standardised)
{
    return std::max(0.5 * std::erfc(standardised / std::sqrt(2.0)), 1e-12);
}

} // namespace

SlownessTest::SlownessTest(double slowRatio)
    : m_slow(std::log(std::max(slowRatio, 1.1)))
    , m_tolerated(std::min(std::log(toleratedSlowness), maximumToleratedFraction * m_slow))
    , m_gray(2 * m_slow - m_tolerated)
{
}

double SlownessTest::checkExcess() const
{
    return m_slow + std::log(checkFraction);
}

double SlownessTest::finishedRatio(double excess, double spread) const
{
    const double ratio = (m_gray - m_tolerated) / (spread * spread) * (excess - m_slow);
    return std::clamp(ratio, -maximumStep, maximumStep);
}

double SlownessTest::runningRatio(double excess, double spread) const
{
    if (excess < m_slow) {
        return 0;
    }
    const double ratio = std::log(upperTail((excess - m_gray) / spread) / upperTail((excess - m_tolerated) / spread));
    return std::clamp(ratio, 0.0, maximumStep);
}

} // namespace jackdawdoor::health
