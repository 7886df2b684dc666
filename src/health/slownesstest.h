/** Evidence from one latency that an upstream is slow. */
#pragma once

namespace jackdawdoor::health {

/** Log-likelihood ratio of two log-normal hypotheses: gray, against tolerably slow.
 *
 * A healthy upstream may be twice as slow for a second or so, as in a garbage collection; that is the healthy
 * hypothesis. The gray one lies as far above the slow ratio, so that the evidence changes its sign there.
 */
class SlownessTest
{
public:
    /** Bound of the evidence from one answer, so that one outlier decides nothing. */
    static constexpr double maximumStep = 3.0;

    /** From this part of the slow ratio on, an answer calls for a check though it is no evidence yet. */
    static constexpr double checkFraction = 0.75;

    explicit SlownessTest(double slowRatio);

    /** excess: log(latency / healthy median). spread: standard deviation of the logarithm of healthy latencies. */
    double finishedRatio(double excess, double spread) const;

    /** As finishedRatio for a request that is still running; 0 until it is past the slow ratio. */
    double runningRatio(double excess, double spread) const;

    /** Logarithm of checkFraction of the slow ratio. */
    double checkExcess() const;

private:
    double m_slow; ///< logarithms of factors of the healthy median
    double m_tolerated;
    double m_gray;
};

} // namespace jackdawdoor::health
