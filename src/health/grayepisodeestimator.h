/** Probability that an upstream is in a gray episode (a partial failure), estimated from the outcomes of requests.
 *
 * Filter of a two-state hidden Markov model: an upstream alternates between healthy and gray. Outcomes update the
 * probability by Bayes' rule; without outcomes it decays towards the stationary probability. So a failure of an upstream
 * that has just answered weighs less than one of an upstream that has not been used, and old outcomes weigh little.
 */
#pragma once

#include "base/time.h"

namespace jackdawdoor::health {

/** Parameters of the hidden Markov model. */
struct GrayModel {
    double grayTimeShare = 0.3; ///< stationary probability: share of time in episodes
    Duration relaxationTime = std::chrono::milliseconds{6000}; ///< time constant of the decay to the stationary probability
    double grayFailureRate = 0.8; ///< share of requests that fail in an episode
    double healthyFailureRate = 0.015; ///< share of requests that fail outside of one

    bool operator==(const GrayModel &) const = default;
};

/** Estimate for one incarnation of one upstream. */
class GrayEpisodeEstimator
{
public:
    explicit GrayEpisodeEstimator(const GrayModel &model);

    /** Adds requests that succeeded. */
    void addSuccesses(TimePoint now, int count);

    /** Adds requests that failed. */
    void addFailures(TimePoint now, int count);

    /** Probability, from 0 to 1, that the upstream is in an episode. */
    double probability(TimePoint now) const;

private:
    void advance(TimePoint now);
    void update(double grayLikelihood, double healthyLikelihood);

    GrayModel m_model;
    double m_probability;
    TimePoint m_updated{};
};

} // namespace jackdawdoor::health
