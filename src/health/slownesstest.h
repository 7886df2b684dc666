/** Likelihood ratio test of one latency for slowness. */
#pragma once

namespace jackdawdoor::health {

/** Log-likelihood ratio of two log-normal hypotheses: gray, against tolerably slow.
 *
 * The healthy hypothesis is an upstream at twice the normal latency, since a garbage collection may slow it down so for
 * about a second. The gray one lies as far above the slow ratio as the former lies below, so the sign changes there.
 */
class SlownessTest
{
public:
    /** Bound on the evidence from one answer, so that a single outlier does not decide. */
    static constexpr double maximumStep = 3.0;

    /** Fraction of the slow ratio from which on a check is due, although the answer is no evidence yet. */
    static constexpr double checkFraction = 0.75;

    explicit SlownessTest(double slowRatio);

    /** excess: log(latency / healthy median). spread: standard deviation of the logarithm of healthy latencies. */
    double finishedRatio(double excess, double spread) const;

    /** As finishedRatio for a request that is still running; 0 until it is past the slow ratio. */
    double runningRatio(double excess, double spread) const;

    /** Logarithm of checkFraction of the slow ratio. */
    double checkExcess() const;

private:
    double m_slow; ///< logarithm of a multiple of the healthy median, as the next two
    double m_tolerated;
    double m_gray;
};

} // namespace jackdawdoor::health
