/** Comparison of an upstream's answers with those of its siblings. */
#pragma once

namespace jackdawdoor::health {

/** Good and bad answers of one upstream, or of several. */
struct AnswerCounts {
    int good = 0;
    int bad = 0;

    bool operator==(const AnswerCounts &) const = default;

    /** Counts an answer, provided that it is of interest. */
    void add(bool isBad, bool counts)
    {
        good += counts && !isBad ? 1 : 0;
        bad += counts && isBad ? 1 : 0;
    }
};

/** Logarithm of the likelihood that the two have their own rates of bad answers, against one common rate.
 *
 * The common rate is taken as observed, so no assumption on how bad an overloaded service is enters. Zero when `own` does
 * not have the higher rate.
 */
double logLikelihoodRatio(const AnswerCounts &own, const AnswerCounts &others);

} // namespace jackdawdoor::health
