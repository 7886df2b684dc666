#include "fleet/upstreamchoice.h"

#include "fleet/concurrentplacement.h"
#include "fleet/unavailability.h"
#include "fleet/upstreamcoverage.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::fleet {

namespace {

/** Costs are in units of the typical latency of a request. A failure without a retry loses the request. */
constexpr double failureCost = 12.0;
/** An answer after the latency objective is worth little to a caller. */
constexpr double lateCost = 0.7 * failureCost;
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
/** Spreads the choices of instances with the same information over upstreams of about the same cost. */
constexpr double costJitter = 0.1;

/** An upstream that may be chosen, with the part of its cost that does not depend on its load. */
struct Candidate {
    UpstreamRecord *record = nullptr;
    double cost = 0;
};

bool isLeaving(const UpstreamRecord &record)
{
    return record.entry.status != UpstreamStatus::Ready || record.announced.leaving;
}

bool isExcluded(const UpstreamRecord &record, const ChoiceRequest &request)
{
    return std::find(request.excluded.begin(), request.excluded.end(), record.entry.id) != request.excluded.end();
}

/** True if the upstream can take one more request: it has a free slot, or its queue is short enough for this request and the
 * request is expected to be answered there within its time left. */
bool hasRoom(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, int inFlight, double medianLatencySeconds)
{
    const double limit = record.entry.slots * (1 + maximumQueuePerSlot * request.queueShare);
    if (now < record.fullUntil || inFlight >= limit) {
        return false;
    }
    const double rounds = (inFlight + 1.0) / std::max(1, record.entry.slots);
    return rounds <= 1 || rounds * medianLatencySeconds <= toSeconds(request.timeLeft);
}

double loadCost(const UpstreamRecord &record, int inFlight)
{
    const double slots = std::max(1, record.entry.slots);
    const double load = (inFlight + 1) / slots;
    if (load <= 1) {
        return std::max(0.0, load - loadCostThreshold);
    }
    return (1 - loadCostThreshold) + 2 * (load - 1);
}

/** Probability, by a rule of thumb, that the answer takes longer than the time left because of the requests queued ahead. */
double missProbability(double neededSeconds, Duration timeLeft)
{
    const double neededShare = neededSeconds / toSeconds(std::max(timeLeft, Duration{1}));
    return std::clamp((neededShare - comfortableTimeShare) / (1 - comfortableTimeShare), 0.0, 1.0);
}

/** Part of the cost that depends on the load. */
double costOfLoad(const UpstreamRecord &record, int inFlight, const ChoiceRequest &request, double medianLatencySeconds)
{
    const double slots = std::max(1, record.entry.slots);
    const double rounds = std::max(1.0, (inFlight + 1) / slots);
    const double neededSeconds = rounds * medianLatencySeconds;
    const double missed = missProbability(neededSeconds, request.timeLeft);
    const double late = (1 - missed) * missProbability(neededSeconds, request.objectiveLeft);
    return missed * failureCost + late * lateCost + loadCost(record, inFlight);
}

/** Part of the cost that does not depend on the load. */
double
baseCost(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds, double grayProbability)
{
    double cost = grayProbability * (isRetryable(request) ? failureCostRetryable : failureCost);
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
    std::vector<Candidate> candidates;
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
        if (!hasRoom(now, *record, request, record->inFlight(), medianLatencySeconds) || leftToOthers) {
            canHaveRoomSoon = true;
            continue;
        }
        const double grayProbability = record->grayEstimate.probability(now);
        coverage.consider(now, *record, grayProbability, request, random);
        const double cost = baseCost(now, *record, request, medianLatencySeconds, grayProbability) + costJitter * uniform(random);
        candidates.push_back({record, cost});
    }
    const auto costWithLoad = [&](std::size_t index, int additional) -> std::optional<double> {
        const auto &[record, cost] = candidates[index];
        const int inFlight = record->inFlight() + additional;
        if (!hasRoom(now, *record, request, inFlight, medianLatencySeconds)) {
            return std::nullopt;
        }
        return cost + costOfLoad(*record, inFlight, request, medianLatencySeconds);
    };
    const double unreported = unreportedRequests(request.requestsPerSecond, table.reportingInstances());
    if (const auto placed = placeConcurrently(candidates.size(), unreported, costWithLoad, random)) {
        choice.upstream = candidates[*placed].record;
        choice.reason = ChoiceReason::LeastCost;
        choice.cost = *costWithLoad(*placed, 0);
    }
    // Retries are not used for coverage, since a retry should not risk a second failure.
    UpstreamRecord *covered = request.excluded.empty() ? coverage.pick(request, choice.ready, random) : nullptr;
    if (covered != nullptr) {
        choice.upstream = covered;
        choice.reason = ChoiceReason::Coverage;
        choice.cost = baseCost(now, *covered, request, medianLatencySeconds, covered->grayEstimate.probability(now))
                      + costOfLoad(*covered, covered->inFlight(), request, medianLatencySeconds);
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
