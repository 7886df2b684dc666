#include "fleet/upstreamchoice.h"

#include <algorithm>
#include <cmath>
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
/** Requests beyond the slots wait in the upstream's queue; so many more are offered before it counts as full. Waiting
 * there for a run and a half is better than a run at an upstream that is believed gray. */
constexpr double maximumQueuePerSlot = 1.5;
/** Below this share of busy slots load makes no difference. */
constexpr double freeLoad = 0.6;
/** Slower upstreams cost what they take longer, up to this many typical runs. */
constexpr double maximumSlowCost = 6.0;
/** An upstream without a request from any instance for this long is due for one. */
constexpr Duration coverageAge = std::chrono::milliseconds{1100};
/** Instances learn of each other's choices with load reports of this period, so that in one period about one request of
 * the whole fleet should take each upstream that is due. */
constexpr Duration reportPeriod = std::chrono::milliseconds{250};
/** Share of the requests that cover upstreams at most. */
constexpr double maximumCoverage = 0.45;
/** Upstreams believed bad beyond this are not due for a request that may run once, or may be repeated. An episode of
 * some eight seconds is over with a fair chance when the belief has fallen to it. */
constexpr double coverageBeliefOnce = 0.4;
constexpr double coverageBeliefRepeatable = 0.6;
/** A doubted upstream counts towards the floor for this long after a request; the next one must follow within two
 * seconds of it. */
constexpr Duration usedLifetime = std::chrono::milliseconds{1400};
/** Spreads the choice of an upstream that is due over those that have been idle about as long, in seconds. */
constexpr double idleSpread = 0.3;
/** Spreads the choice of a doubted upstream over those with about the same belief. */
constexpr double beliefSpread = 0.15;

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

double costOf(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds)
{
    const bool once = request.repeatability == routing::Repeatability::AtMostOnce;
    double cost = record.grayEstimate.probability(now) * (once ? failureCostOnce : failureCostRepeatable);
    cost += loadCost(record);
    if (record.entry.dataCentre != request.dataCentre) {
        cost += otherDataCentreCost;
    }
    if (now < record.coldUntil) {
        cost += coldCost;
    }
    if (record.meanLatencySeconds > 0 && medianLatencySeconds > 0) {
        cost += std::clamp(record.meanLatencySeconds / medianLatencySeconds - 1, 0.0, maximumSlowCost);
    }
    return cost;
}

/** Longer idle times make no difference. */
constexpr Duration longestIdle = std::chrono::seconds{10};

/** Upstreams that should get a request although others are better. */
struct Coverage {
    UpstreamRecord *due = nullptr; ///< the longest idle of those that are due, about
    double dueIdle = 0;
    UpstreamRecord *doubted = nullptr; ///< least doubted of the others that have been idle
    double doubt = std::numeric_limits<double>::max();
    int dueCount = 0;
    int used = 0; ///< upstreams with a request lately

    void consider(TimePoint now, UpstreamRecord &record, const ChoiceRequest &request, RandomSource &random)
    {
        const Duration idle = now - record.lastUsed;
        if (now < record.coldUntil) {
            return;
        }
        const bool once = request.repeatability == routing::Repeatability::AtMostOnce;
        const double belief = record.grayEstimate.probability(now);
        const bool trusted = belief <= (once ? coverageBeliefOnce : coverageBeliefRepeatable);
        if (idle < (trusted ? coverageAge : usedLifetime)) {
            ++used;
            return;
        }
        if (trusted) {
            ++dueCount;
            const double spreadIdle = toSeconds(std::min(idle, longestIdle)) + idleSpread * uniform(random);
            if (spreadIdle > dueIdle) {
                dueIdle = spreadIdle;
                due = &record;
            }
            return;
        }
        const double spread = belief + beliefSpread * uniform(random);
        if (spread < doubt) {
            doubt = spread;
            doubted = &record;
        }
    }

    /** The upstream that the present request covers, or nullptr. */
    UpstreamRecord *pick(const ChoiceRequest &request, int ready, RandomSource &random) const
    {
        const int missing = static_cast<int>(std::ceil(request.floorShare * ready)) - used - dueCount;
        const bool useDoubted = missing > 0 && doubted != nullptr;
        const int wanted = dueCount + (useDoubted ? missing : 0);
        const double perPeriod = request.requestsPerSecond * toSeconds(reportPeriod);
        if (uniform(random) >= std::min(maximumCoverage, wanted / std::max(1.0, perPeriod))) {
            return nullptr;
        }
        return useDoubted && uniform(random) * wanted >= dueCount ? doubted : due;
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
    const double typical = table.medianLatencySeconds(request.service);
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
        const double cost = costOf(now, *record, request, typical) + 0.1 * uniform(random);
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
        choice.cost = costOf(now, *covered, request, typical);
    }
    if (choice.upstream != nullptr) {
        choice.grayProbability = choice.upstream->grayEstimate.probability(now);
    }
    return choice;
}

} // namespace jackdawdoor::fleet
