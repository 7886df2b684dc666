#include "fleet/upstreamchoice.h"

#include <algorithm>
#include <limits>

namespace jackdawdoor::fleet {

namespace {

/** Costs are in units of one typical run of a request. */
constexpr double failureCostOnce = 12.0;
/** A repeatable request that fails is sent once more. */
constexpr double failureCostRepeatable = 2.5;
/** Crossing data centres costs money for the bytes and half a millisecond. */
constexpr double otherDataCentreCost = 0.15;
/** A cold upstream takes twice as long. */
constexpr double coldCost = 1.0;
/** Requests beyond the slots wait in the upstream's queue; so many more are offered before it counts as full. */
constexpr double maximumQueuePerSlot = 0.5;
/** Below this share of busy slots load makes no difference. */
constexpr double freeLoad = 0.6;
/** Slower upstreams cost what they take longer, up to this many typical runs. */
constexpr double maximumSlowCost = 6.0;
/** An upstream without a request from any instance for this long is due for one. */
constexpr Duration coverageAge = std::chrono::milliseconds{1200};
/** Chance that a request takes an upstream that is due, growing over this time. The chance stays below one because the
 * instances learn of each other's choice with the next load report only. */
constexpr Duration coverageRamp = std::chrono::milliseconds{500};
constexpr double coverageChance = 0.35;
/** Upstreams believed bad beyond this are not due for a request that may run once, or may be repeated. An episode of
 * some eight seconds is over with a fair chance when the belief has fallen to it. */
constexpr double coverageBeliefOnce = 0.4;
constexpr double coverageBeliefRepeatable = 0.6;

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
        return std::max(0.0, load - freeLoad);
    }
    return (1 - freeLoad) + 2 * (load - 1);
}

double costOf(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double typicalLatency)
{
    const bool once = request.repeatability == routing::Repeatability::Once;
    double cost = record.belief.probability(now) * (once ? failureCostOnce : failureCostRepeatable);
    cost += loadCost(record);
    if (record.entry.dataCentre != request.dataCentre) {
        cost += otherDataCentreCost;
    }
    if (now < record.warmAt) {
        cost += coldCost;
    }
    if (record.meanLatency > 0 && typicalLatency > 0) {
        cost += std::clamp(record.meanLatency / typicalLatency - 1, 0.0, maximumSlowCost);
    }
    return cost;
}

bool isDue(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, RandomSource &random)
{
    const bool once = request.repeatability == routing::Repeatability::Once;
    const double worst = once ? coverageBeliefOnce : coverageBeliefRepeatable;
    const Duration idle = now - record.lastUsed;
    if (idle < coverageAge || now < record.warmAt || record.belief.probability(now) > worst) {
        return false;
    }
    const double grown = std::min(1.0, toSeconds(idle - coverageAge) / toSeconds(coverageRamp));
    return uniform(random) < grown * coverageChance;
}

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

UpstreamChoice chooseUpstream(TimePoint now, const UpstreamBoard &board, const ChoiceRequest &request, RandomSource &random)
{
    UpstreamChoice choice;
    double best = std::numeric_limits<double>::max();
    const double typical = board.typicalLatency(request.service);
    UpstreamRecord *due = nullptr;
    for (UpstreamRecord *record : board.ofService(request.service)) {
        if (!isUsable(now, *record, request)) {
            continue;
        }
        ++choice.ready;
        choice.reason = choice.upstream == nullptr ? ChoiceReason::NoRoom : choice.reason;
        if (!hasRoom(now, *record)) {
            continue;
        }
        if ((due == nullptr || record->lastUsed < due->lastUsed) && isDue(now, *record, request, random)) {
            due = record;
        }
        // A little randomness keeps instances that know the same from choosing the same upstream at the same moment.
        const double cost = costOf(now, *record, request, typical) + 0.1 * uniform(random);
        if (cost < best) {
            best = cost;
            choice.upstream = record;
            choice.reason = ChoiceReason::LeastCost;
            choice.cost = cost;
        }
    }
    if (due != nullptr) {
        choice.upstream = due;
        choice.reason = ChoiceReason::Coverage;
        choice.cost = costOf(now, *due, request, typical);
    }
    if (choice.upstream != nullptr) {
        choice.belief = choice.upstream->belief.probability(now);
    }
    return choice;
}

} // namespace jackdawdoor::fleet
