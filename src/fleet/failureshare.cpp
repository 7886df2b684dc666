#include "fleet/failureshare.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::fleet {

namespace {

/** Eight buckets make a window of 1.6 s, somewhat shorter than the 2 s over which the floor is judged. */
constexpr Duration bucketLength = std::chrono::milliseconds{200};
/** The operator's rule on the minimum share of upstreams in use applies from this share of failed requests. */
constexpr double elevatedShare = 0.1;
/** Fewer failures say nothing about a service with few requests. */
constexpr int minimumFailures = 5;
/** Higher counts in a message are not plausible, and sums of them could overflow. */
constexpr int maximumCount = 1'000'000;

std::int64_t bucketNumber(TimePoint now)
{
    return now.time_since_epoch() / bucketLength;
}

} // namespace

FailureShare::Bucket &FailureShare::bucketAt(TimePoint now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

void FailureShare::addRequests(TimePoint now, int requests)
{
    bucketAt(now).requests += std::clamp(requests, 0, maximumCount);
}

void FailureShare::addOwnFailure(TimePoint now)
{
    ++bucketAt(now).failures;
    ++m_unreported;
}

void FailureShare::addOtherFailures(TimePoint now, int failures)
{
    bucketAt(now).failures += std::clamp(failures, 0, maximumCount);
}

int FailureShare::takeUnreportedFailures()
{
    return std::exchange(m_unreported, 0);
}

double FailureShare::share(TimePoint now) const
{
    const std::int64_t first = bucketNumber(now) - static_cast<std::int64_t>(bucketCount) + 1;
    int requests = 0;
    int failures = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.number >= first) {
            requests += bucket.requests;
            failures += bucket.failures;
        }
    }
    return failures < minimumFailures ? 0 : static_cast<double>(failures) / std::max(requests, failures);
}

bool FailureShare::update(TimePoint now)
{
    const bool before = std::exchange(m_elevated, share(now) >= elevatedShare);
    return before != m_elevated;
}

bool FailureShare::elevated() const
{
    return m_elevated;
}

} // namespace jackdawdoor::fleet
