#include "fleet/failureshare.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::fleet {

namespace {

/** That of the load reports, which bring the other instances' counts. */
constexpr Duration bucketLength = std::chrono::milliseconds{200};
/** The operator's floor binds from this share on. */
constexpr double elevatedShare = 0.1;
/** Fewer failures say nothing about a service with few requests. */
constexpr int minimumFailures = 5;

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
    bucketAt(now).requests += std::max(0, requests);
}

void FailureShare::addOwnFailure(TimePoint now)
{
    ++bucketAt(now).failures;
    ++m_unreported;
}

void FailureShare::addOtherFailures(TimePoint now, int failures)
{
    bucketAt(now).failures += std::max(0, failures);
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
