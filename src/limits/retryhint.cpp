#include "limits/retryhint.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::limits {

namespace {

constexpr Duration shortestHint = std::chrono::milliseconds{250};
constexpr Duration longestHint = std::chrono::seconds{5};
/** Time over which the rates of refusals and answers are averaged. */
constexpr double averagingSeconds = 1.0;
/** Bound on the ratio of refusals to answers, which also covers a full outage; at this ratio the hint is the longest one. */
constexpr double largestRatio = 40;

} // namespace

RetryHintStrategy fixedRetryHint(Duration time)
{
    return [time](TimePoint, const RefusalLoad &, RandomSource &) {
        return time;
    };
}

RetryHintStrategy computedRetryHint()
{
    return [](TimePoint, const RefusalLoad &load, RandomSource &) {
        const double served = std::max(load.servedPerSecond, load.refusedPerSecond / largestRatio);
        const double seconds = served > 0 ? load.refusedPerSecond * averagingSeconds / served : 0;
        return std::clamp(fromSeconds(seconds) + load.queueWait, shortestHint, longestHint);
    };
}

RetryHintStrategy jitteredRetryHint()
{
    return [computed = computedRetryHint()](TimePoint now, const RefusalLoad &load, RandomSource &random) {
        const double factor = 0.5 + uniform(random);
        return fromSeconds(toSeconds(computed(now, load, random)) * factor);
    };
}

RetryHint::RetryHint(RetryHintStrategy strategy)
    : m_strategy(std::move(strategy))
{
}

void RetryHint::onServed(TimePoint now)
{
    decay(now, m_served);
    m_served.perSecond += 1 / averagingSeconds;
}

Duration RetryHint::onRefused(TimePoint now, Duration queueWait, RandomSource &random)
{
    decay(now, m_refused);
    decay(now, m_served);
    m_refused.perSecond += 1 / averagingSeconds;
    return m_strategy(now, {m_refused.perSecond, m_served.perSecond, queueWait}, random);
}

void RetryHint::decay(TimePoint now, Rate &rate)
{
    const double elapsed = toSeconds(std::max(now - rate.updated, Duration::zero()));
    rate.perSecond *= std::exp(-elapsed / averagingSeconds);
    rate.updated = now;
}

} // namespace jackdawdoor::limits
