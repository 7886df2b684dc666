#include "fleet/upstreamchoice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawdoor::fleet {

namespace {

/** Costs are in units of one typical run of a request. */
constexpr double failureCostAtMostOnce = 12.0;
/** A repeatable request that fails is sent once more. */
constexpr double failureCostIdempotent = 2.5;
/** Crossing data centres costs money for the bytes and half a millisecond. */
constexpr double crossDataCentreCost = 0.15;
/** A cold upstream takes twice as long. */
constexpr double coldCost = 1.0;
/** Requests beyond the slots wait in the upstream's queue; so many more are offered before it counts as full. Waiting
 * there for a run and a half is better than a run at an upstream that is believed gray. */
constexpr double maximumQueuePerSlot = 1.5;
/** Below this share of busy slots load makes no difference. */
constexpr double loadCostThreshold = 0.6;
/** Slower upstreams cost what they take longer, up to this many typical runs. */
constexpr double maximumLatencyCost = 6.0;
/** An upstream without a request from any instance for this long is due for one. */
constexpr Duration coverageIdleTime = std::chrono::milliseconds{1100};
/** Instances learn of each other's choices with load reports of this period, so that in one period about one request of
 * the whole fleet should take each upstream that is due. */
constexpr Duration reportPeriod = std::chrono::milliseconds{250};
/** Share of the requests that cover upstreams at most. */
constexpr double maximumCoverageShare = 0.45;
/** Upstreams believed bad beyond this are not due for a request that may run once, or may be repeated. An episode of
 * some eight seconds is over with a fair chance when the belief has fallen to it. */
constexpr double coverageThresholdAtMostOnce = 0.4;
constexpr double coverageThresholdIdempotent = 0.6;
/** A doubted upstream counts towards the floor for this long after a request; the next one must follow within two
 * seconds of it. */
constexpr Duration recentUseWindow = std::chrono::milliseconds{1400};
/** Spreads the choice of an upstream that is due over those that have been idle about as long, in seconds. */
constexpr double idleJitterSeconds = 0.3;
/** Spreads the choice of a doubted upstream over those with about the same belief. */
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

/** Longer idle times make no difference. */
constexpr Duration maximumIdleTime = std::chrono::seconds{10};

/** Upstreams that should get a request although others are better. */
struct Coverage {
    UpstreamRecord *due = nullptr; ///< the longest idle of those that are due, about
    double dueIdleSeconds = 0;
    UpstreamRecord *likelyGray = nullptr; ///< least doubted of the others that have been idle
    double likelyGrayScore = std::numeric_limits<double>::max();
    int dueCount = 0;
    int recentlyUsed = 0; ///< upstreams with a request lately

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

    /** The upstream that the present request covers, or nullptr. */
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
        // A little randomness keeps instances that know the same from choosing the same upstream at the same moment.
        const double cost = costOf(now, *record, request, medianLatencySeconds) + 0.1 * uniform(random);
        if (cost < best) {
            best = cost;
            choice.upstream = record;
            choice.reason = ChoiceReason::LeastCost;
            choice.cost = cost;
        }
    }
    // A request that was sent before is not risked again.
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
