/** Likelihood ratio test that compares an upstream's failure rate with that of its siblings. */
#pragma once

namespace jackdawdoor::health {

/** Good and bad answers of one upstream, or of several. */
struct AnswerCounts {
    int good = 0;
    int bad = 0;

    bool operator==(const AnswerCounts &) const = default;

    /** Counts the answer when `counts` is true. */
    void add(bool isBad, bool counts)
    {
        good += counts && !isBad ? 1 : 0;
        bad += counts && isBad ? 1 : 0;
    }
};

/** Log-likelihood ratio of two separate rates of bad answers against one common rate.
 *
 * The common rate is the observed one, so the test assumes no failure rate for an overloaded service. Zero when `own` does
 * not have the higher rate.
 */
double logLikelihoodRatio(const AnswerCounts &own, const AnswerCounts &others);

} // namespace jackdawdoor::health
