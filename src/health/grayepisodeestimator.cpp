#include "health/grayepisodeestimator.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Outcomes reported together count at most this often; they are not independent. */
constexpr int maximumBatch = 4;
/** Keeps the belief movable after many equal outcomes. */
constexpr double minimumBelief = 0.002;

} // namespace

GrayEpisodeEstimator::GrayEpisodeEstimator(const GrayModel &model)
    : m_model(model)
    , m_belief(model.shareGray)
{
}

void GrayEpisodeEstimator::addSuccesses(TimePoint now, int count)
{
    advance(now);
    for (int index = 0; index < std::min(count, maximumBatch); ++index) {
        update(1 - m_model.failuresGray, 1 - m_model.failuresSound);
    }
}

void GrayEpisodeEstimator::addFailures(TimePoint now, int count)
{
    advance(now);
    for (int index = 0; index < std::min(count, maximumBatch); ++index) {
        update(m_model.failuresGray, m_model.failuresSound);
    }
}

double GrayEpisodeEstimator::probability(TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - m_updated));
    const double kept = std::exp(-age / toSeconds(m_model.relaxation));
    return m_model.shareGray + (m_belief - m_model.shareGray) * kept;
}

void GrayEpisodeEstimator::advance(TimePoint now)
{
    m_belief = probability(now);
    m_updated = std::max(now, m_updated);
}

void GrayEpisodeEstimator::update(double likelihoodGray, double likelihoodSound)
{
    const double gray = m_belief * likelihoodGray;
    const double sound = (1 - m_belief) * likelihoodSound;
    m_belief = std::clamp(gray / (gray + sound), minimumBelief, 1 - minimumBelief);
}

} // namespace jackdawdoor::health
