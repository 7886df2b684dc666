#include "fleet/upstreamchoice.h"

#include "fleet/unavailability.h"
#include "fleet/upstreamcoverage.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawdoor::fleet {

namespace {

/** Costs are in units of the typical latency of a request. A failure without a retry loses the request. */
constexpr double failureCost = 12.0;
/** A retryable request that fails only loses time. */
constexpr double failureCostRetryable = 2.5;
/** Traffic between data centres is charged by volume and takes half a millisecond longer. */
constexpr double crossDataCentreCost = 0.15;
/** The same for each megabyte of the request's body. */
constexpr double crossDataCentreCostPerMegabyte = 10;
/** An upstream takes twice as long during its warm-up. */
constexpr double coldCost = 1.0;
/** Requests queued at an upstream per slot, beyond which it counts as full. Waiting there for one and a half request times is
 * better than using an upstream that is likely gray. */
constexpr double maximumQueuePerSlot = 1.5;
/** An attempt that is expected to need more than this share of the time left may miss it; one that needs all of it will. */
constexpr double comfortableTimeShare = 0.5;
/** Load adds no cost below this share of busy slots. */
constexpr double loadCostThreshold = 0.6;
/** Upper bound of the cost of an upstream's excess latency. */
constexpr double maximumLatencyCost = 6.0;
bool isLeaving(const UpstreamRecord &record)
{
    return record.entry.status != UpstreamStatus::Ready || record.announced.leaving;
}

bool isExcluded(const UpstreamRecord &record, const ChoiceRequest &request)
{
    return std::find(request.excluded.begin(), request.excluded.end(), record.entry.id) != request.excluded.end();
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

/** Probability, by a rule of thumb, that the answer comes too late because of the requests queued ahead. */
double missProbability(const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds)
{
    const double slots = std::max(1, record.entry.slots);
    const double rounds = std::max(1.0, (record.inFlight() + 1) / slots);
    const double neededShare = rounds * medianLatencySeconds / toSeconds(std::max(request.timeLeft, Duration{1}));
    return std::clamp((neededShare - comfortableTimeShare) / (1 - comfortableTimeShare), 0.0, 1.0);
}

double
costOf(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds, double grayProbability)
{
    double cost = grayProbability * (isRetryable(request) ? failureCostRetryable : failureCost);
    cost += missProbability(record, request, medianLatencySeconds) * failureCost;
    cost += loadCost(record);
    if (record.entry.dataCentre != request.dataCentre) {
        constexpr double bytesPerMegabyte = 1e6;
        cost += crossDataCentreCost + crossDataCentreCostPerMegabyte * static_cast<double>(request.bodyBytes) / bytesPerMegabyte;
    }
    if (now < record.coldUntil) {
        cost += coldCost;
    }
    if (record.meanLatencySeconds > 0 && medianLatencySeconds > 0) {
        cost += std::clamp(record.meanLatencySeconds / medianLatencySeconds - 1, 0.0, maximumLatencyCost);
    }
    return cost;
}

} // namespace

bool isRetryable(const ChoiceRequest &request)
{
    return request.repeatability == routing::Repeatability::Idempotent && request.retryAllowed;
}

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
    case ChoiceReason::AllLeaving:
        return "all-leaving";
    case ChoiceReason::RateLimited:
        return "rate-limited";
    case ChoiceReason::Resting:
        return "resting";
    }
    return "no-upstream";
}

UpstreamChoice chooseUpstream(TimePoint now, const UpstreamTable &table, const ChoiceRequest &request, RandomSource &random)
{
    UpstreamChoice choice;
    double best = std::numeric_limits<double>::max();
    bool canHaveRoomSoon = false;
    const double admission = FleetRateLimit::admissionProbability(request.requestsPerSecond);
    const double medianLatencySeconds = table.medianLatencySeconds(request.service);
    Coverage coverage;
    const std::vector<UpstreamRecord *> &upstreams = table.ofService(request.service);
    Unavailability unavailability(!upstreams.empty());
    for (UpstreamRecord *record : upstreams) {
        if (isLeaving(*record)) {
            continue;
        }
        const Duration wait = record->announced.timeUntilAllowed(now);
        unavailability.considerStaying(now, *record, wait);
        if (isExcluded(*record, request)) {
            continue;
        }
        if (now < record->unusableUntil) {
            unavailability.considerUnreachable(record->unusableUntil - now);
            continue;
        }
        ++choice.ready;
        if (wait > Duration::zero()) {
            unavailability.considerAnnounced(wait);
            continue;
        }
        const bool leftToOthers = record->announced.rateLimit.active() && uniform(random) >= admission;
        if (!hasRoom(now, *record) || leftToOthers) {
            canHaveRoomSoon = true;
            continue;
        }
        const double grayProbability = record->grayEstimate.probability(now);
        coverage.consider(now, *record, grayProbability, request, random);
        // The jitter keeps instances with the same data from choosing the same upstream at the same time.
        const double cost = costOf(now, *record, request, medianLatencySeconds, grayProbability) + 0.1 * uniform(random);
        if (cost < best) {
            best = cost;
            choice.upstream = record;
            choice.reason = ChoiceReason::LeastCost;
            choice.cost = cost;
        }
    }
    // Retries are not used for coverage, since a retry should not risk a second failure.
    UpstreamRecord *covered = request.excluded.empty() ? coverage.pick(request, choice.ready, random) : nullptr;
    if (covered != nullptr) {
        choice.upstream = covered;
        choice.reason = ChoiceReason::Coverage;
        choice.cost = costOf(now, *covered, request, medianLatencySeconds, covered->grayEstimate.probability(now));
    }
    if (choice.upstream != nullptr) {
        choice.grayProbability = choice.upstream->grayEstimate.probability(now);
    } else if (canHaveRoomSoon) {
        choice.reason = ChoiceReason::NoRoom;
    } else {
        unavailability.explain(choice);
    }
    return choice;
}

} // namespace jackdawdoor::fleet
