/** Retry-After hints for refused callers. */
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <functional>

namespace jackdawdoor::limits {

/** Load at the time of a refusal. */
struct RefusalLoad {
    double refusedPerSecond = 0; ///< recent rate of refusals on this instance
    double servedPerSecond = 0; ///< recent rate of answers on this instance; 0 in a full outage
    Duration queueWait{}; ///< expected wait in the queue

    bool operator==(const RefusalLoad &) const = default;
};

/** Computes the time after which the caller should retry. */
using RetryHintStrategy = std::function<Duration(TimePoint now, const RefusalLoad &, RandomSource &)>;

/** Constant time. */
RetryHintStrategy fixedRetryHint(Duration time);

/** Time in which the refused requests of the last second can be served, within [0.25 s, 5 s]. */
RetryHintStrategy computedRetryHint();

/** Uniform between half and one and a half times the computed time, so that callers do not retry in step. */
RetryHintStrategy jitteredRetryHint();

/** Counts refusals and answers, and gives hints with a strategy. */
class RetryHint
{
public:
    /** The default strategy is the jittered one; see retryhint_test for the comparison. */
    explicit RetryHint(RetryHintStrategy strategy = jitteredRetryHint());

    void onServed(TimePoint now);

    /** Counts a refusal and returns the time after which to retry. */
    Duration onRefused(TimePoint now, Duration queueWait, RandomSource &random);

private:
    struct Rate {
        double perSecond = 0;
        TimePoint updated;
    };
    static void decay(TimePoint now, Rate &rate);

    RetryHintStrategy m_strategy;
    Rate m_refused;
    Rate m_served;
};

} // namespace jackdawdoor::limits
