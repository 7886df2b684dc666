#include "fleet/upstreamchoice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawdoor::fleet {

namespace {

/** Costs are in units of the typical latency of a request. */
constexpr double failureCostAtMostOnce = 12.0;
/** An idempotent request that fails is retried. */
constexpr double failureCostIdempotent = 2.5;
/** Traffic between data centres is charged by volume and takes half a millisecond longer. */
constexpr double crossDataCentreCost = 0.15;
/** An upstream takes twice as long during its warm-up. */
constexpr double coldCost = 1.0;
/** Requests queued at an upstream per slot, beyond which it counts as full. Waiting there for one and a half request times is
 * better than using an upstream that is likely gray. */
constexpr double maximumQueuePerSlot = 1.5;
/** Load adds no cost below this share of busy slots. */
constexpr double loadCostThreshold = 0.6;
/** Upper bound of the cost of an upstream's excess latency. */
constexpr double maximumLatencyCost = 6.0;
/** An upstream without requests from any instance for this long is due for one. */
constexpr Duration coverageIdleTime = std::chrono::milliseconds{1100};
/** Interval of load reports. Instances learn of each other's choices only through them, so the fleet should send about one
 * request per interval to each upstream that is due. */
constexpr Duration reportPeriod = std::chrono::milliseconds{250};
/** Maximum share of requests used for coverage. */
constexpr double maximumCoverageShare = 0.45;
/** Upstreams with a higher probability of a gray failure are not due for requests. By the time the probability has decayed to
 * this value, a gray failure of about eight seconds has a fair chance of having ended. */
constexpr double coverageThresholdAtMostOnce = 0.4;
constexpr double coverageThresholdIdempotent = 0.6;
/** A likely gray upstream counts towards the floor for this long after a request. It needs the next request within two
 * seconds. */
constexpr Duration recentUseWindow = std::chrono::milliseconds{1400};
/** Spreads requests over due upstreams with similar idle times. */
constexpr double idleJitterSeconds = 0.3;
/** Spreads requests over likely gray upstreams with similar probabilities. */
constexpr double probabilityJitter = 0.15;

bool isUsable(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request)
{
    if (record.entry.status != UpstreamStatus::Ready || now < record.unusableUntil) {
        return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), record.entry.id) == request.excluded.end();
}

bool hasRoom(TimePoint now, const UpstreamRecord &record)
{
    const double limit = record.entry.slots * (1 + maximumQueuePerSlot);
    return now >= record.fullUntil && record.inFlight() < limit;
}

double loadCost(const UpstreamRecord &record)
{
    const double slots = std::max(1, record.entry.slots);
    const double load = (record.inFlight() + 1) / slots;
    if (load <= 1) {
        return std::max(0.0, load - loadCostThreshold);
    }
    return (1 - loadCostThreshold) + 2 * (load - 1);
}

double costOf(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds)
{
    const bool atMostOnce = request.repeatability == routing::Repeatability::AtMostOnce;
    double cost = record.grayEstimate.probability(now) * (atMostOnce ? failureCostAtMostOnce : failureCostIdempotent);
    cost += loadCost(record);
    if (record.entry.dataCentre != request.dataCentre) {
        cost += crossDataCentreCost;
    }
    if (now < record.coldUntil) {
        cost += coldCost;
    }
    if (record.meanLatencySeconds > 0 && medianLatencySeconds > 0) {
        cost += std::clamp(record.meanLatencySeconds / medianLatencySeconds - 1, 0.0, maximumLatencyCost);
    }
    return cost;
}

/** Longer idle times count as this long. */
constexpr Duration maximumIdleTime = std::chrono::seconds{10};

/** Selects upstreams that need a request even though others have a lower cost. */
struct Coverage {
    UpstreamRecord *due = nullptr; ///< due upstream with about the longest idle time
    double dueIdleSeconds = 0;
    UpstreamRecord *likelyGray = nullptr; ///< about the least likely gray of the other idle upstreams
    double likelyGrayScore = std::numeric_limits<double>::max();
    int dueCount = 0;
    int recentlyUsed = 0; ///< number of upstreams with a recent request

    void consider(TimePoint now, UpstreamRecord &record, const ChoiceRequest &request, RandomSource &random)
    {
        const Duration idle = now - record.lastUsed;
        if (now < record.coldUntil) {
            return;
        }
        const bool atMostOnce = request.repeatability == routing::Repeatability::AtMostOnce;
        const double probability = record.grayEstimate.probability(now);
        const bool likelyHealthy = probability <= (atMostOnce ? coverageThresholdAtMostOnce : coverageThresholdIdempotent);
        if (idle < (likelyHealthy ? coverageIdleTime : recentUseWindow)) {
            ++recentlyUsed;
            return;
        }
        if (likelyHealthy) {
            ++dueCount;
            const double idleSeconds = toSeconds(std::min(idle, maximumIdleTime)) + idleJitterSeconds * uniform(random);
            if (idleSeconds > dueIdleSeconds) {
                dueIdleSeconds = idleSeconds;
                due = &record;
            }
            return;
        }
        const double score = probability + probabilityJitter * uniform(random);
        if (score < likelyGrayScore) {
            likelyGrayScore = score;
            likelyGray = &record;
        }
    }

    /** Returns the upstream that this request should cover, or nullptr. */
    UpstreamRecord *pick(const ChoiceRequest &request, int ready, RandomSource &random) const
    {
        const int missing = static_cast<int>(std::ceil(request.floorShare * ready)) - recentlyUsed - dueCount;
        const bool useLikelyGray = missing > 0 && likelyGray != nullptr;
        const int wanted = dueCount + (useLikelyGray ? missing : 0);
        const double requestsPerPeriod = request.requestsPerSecond * toSeconds(reportPeriod);
        if (uniform(random) >= std::min(maximumCoverageShare, wanted / std::max(1.0, requestsPerPeriod))) {
            return nullptr;
        }
        return useLikelyGray && uniform(random) * wanted >= dueCount ? likelyGray : due;
    }
};

} // namespace

const char *reasonName(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::LeastCost:
        return "least-cost";
    case ChoiceReason::Coverage:
        return "coverage";
    case ChoiceReason::NoUpstream:
        return "no-upstream";
    case ChoiceReason::NoRoom:
        return "no-room";
    }
    return "no-upstream";
}

UpstreamChoice chooseUpstream(TimePoint now, const UpstreamTable &table, const ChoiceRequest &request, RandomSource &random)
{
    UpstreamChoice choice;
    double best = std::numeric_limits<double>::max();
    const double medianLatencySeconds = table.medianLatencySeconds(request.service);
    Coverage coverage;
    for (UpstreamRecord *record : table.ofService(request.service)) {
        if (!isUsable(now, *record, request)) {
            continue;
        }
        ++choice.ready;
        choice.reason = choice.upstream == nullptr ? ChoiceReason::NoRoom : choice.reason;
        if (!hasRoom(now, *record)) {
            continue;
        }
        coverage.consider(now, *record, request, random);
        // The jitter keeps instances with the same data from choosing the same upstream at the same time.
        const double cost = costOf(now, *record, request, medianLatencySeconds) + 0.1 * uniform(random);
        if (cost < best) {
            best = cost;
            choice.upstream = record;
            choice.reason = ChoiceReason::LeastCost;
            choice.cost = cost;
        }
    }
    // Retries are not used for coverage, because it risks another failure.
    UpstreamRecord *covered = request.excluded.empty() ? coverage.pick(request, choice.ready, random) : nullptr;
    if (covered != nullptr) {
        choice.upstream = covered;
        choice.reason = ChoiceReason::Coverage;
        choice.cost = costOf(now, *covered, request, medianLatencySeconds);
    }
    if (choice.upstream != nullptr) {
        choice.grayProbability = choice.upstream->grayEstimate.probability(now);
    }
    return choice;
}

} // namespace jackdawdoor::fleet
