/** Belief that an upstream is in a gray episode, from the outcomes of requests.
 *
 * A two-state hidden Markov model. An upstream changes between sound and gray; outcomes move the belief by Bayes' rule,
 * and without outcomes it relaxes towards the share of time that upstreams spend in episodes. So one failure of an
 * upstream that has just answered weighs less than one of an upstream that has not been used, and an old failure or an
 * old success means little.
 */
#pragma once

#include "base/time.h"

namespace jackdawdoor::health {

/** Assumed behaviour of upstreams. */
struct GrayModel {
    double grayTimeShare = 0.3; ///< of time that an upstream spends in episodes
    Duration relaxationTime = std::chrono::milliseconds{6000}; ///< time constant with which an outcome loses its meaning
    double grayFailureRate = 0.8; ///< share of requests that fail in an episode
    double healthyFailureRate = 0.015; ///< share of requests that fail outside of one

    bool operator==(const GrayModel &) const = default;
};

/** Belief about one incarnation of one upstream. */
class GrayEpisodeEstimator
{
public:
    explicit GrayEpisodeEstimator(const GrayModel &model);

    /** Requests that ended well. */
    void addSuccesses(TimePoint now, int count);

    /** Requests that failed. */
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
