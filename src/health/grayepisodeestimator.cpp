#include "health/grayepisodeestimator.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Bound on the outcomes that count of those reported together, because they are not independent. */
constexpr int maximumBatch = 4;
/** Bounds the probability away from 0 and 1, so that it still changes after many equal outcomes. */
constexpr double minimumProbability = 0.002;

} // namespace

GrayEpisodeEstimator::GrayEpisodeEstimator(const GrayModel &model)
    : m_model(model)
    , m_probability(model.grayTimeShare)
{
}

void GrayEpisodeEstimator::addSuccesses(TimePoint now, int count)
{
    advance(now);
    for (int index = 0; index < std::min(count, maximumBatch); ++index) {
        update(1 - m_model.grayFailureRate, 1 - m_model.healthyFailureRate);
    }
}

void GrayEpisodeEstimator::addFailures(TimePoint now, int count)
{
    advance(now);
    for (int index = 0; index < std::min(count, maximumBatch); ++index) {
        update(m_model.grayFailureRate, m_model.healthyFailureRate);
    }
}

double GrayEpisodeEstimator::probability(TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - m_updated));
    const double kept = std::exp(-age / toSeconds(m_model.relaxationTime));
    return m_model.grayTimeShare + (m_probability - m_model.grayTimeShare) * kept;
}

void GrayEpisodeEstimator::advance(TimePoint now)
{
    m_probability = probability(now);
    m_updated = std::max(now, m_updated);
}

void GrayEpisodeEstimator::update(double grayLikelihood, double healthyLikelihood)
{
    const double gray = m_probability * grayLikelihood;
    const double healthy = (1 - m_probability) * healthyLikelihood;
    m_probability = std::clamp(gray / (gray + healthy), minimumProbability, 1 - minimumProbability);
}

} // namespace jackdawdoor::health
