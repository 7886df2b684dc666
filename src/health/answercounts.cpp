#include "health/answercounts.h"

#include <cmath>

namespace jackdawdoor::health {

namespace {

double logLikelihood(const AnswerCounts &counts)
{
    const double total = counts.good + counts.bad;
    const auto part = [total](int count) {
        return count == 0 ? 0.0 : count * std::log(count / total);
    };
    return part(counts.good) + part(counts.bad);
}

} // namespace

double logLikelihoodRatio(const AnswerCounts &own, const AnswerCounts &others)
{
    const int ownTotal = own.good + own.bad;
    const int othersTotal = others.good + others.bad;
    if (own.bad * othersTotal <= others.bad * ownTotal) {
        return 0;
    }
    const AnswerCounts together{own.good + others.good, own.bad + others.bad};
    return logLikelihood(own) + logLikelihood(others) - logLikelihood(together);
}

} // namespace jackdawdoor::health
