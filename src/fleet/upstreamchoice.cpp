#include "fleet/upstreamchoice.h"

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
/** An upstream without requests from any instance for this long is due for one. */
constexpr Duration coverageIdleTime = std::chrono::milliseconds{1100};
/** Each upstream that counts towards the floor needs a request within two seconds. From this idle time on, requests are used
 * to cover it with a probability that should send one within floorSpreadTime. */
constexpr Duration floorIdleTime = std::chrono::milliseconds{1300};
constexpr Duration floorSpreadTime = std::chrono::milliseconds{250};
/** From this idle time on, any request covers it. */
constexpr Duration floorUrgentIdleTime = std::chrono::milliseconds{1600};
/** Interval of load reports. Instances learn of each other's choices only through them, so the fleet should send about one
 * request per interval to each upstream that is due. */
constexpr Duration reportPeriod = std::chrono::milliseconds{250};
/** Maximum share of requests used for coverage, unless the floor is at stake. */
constexpr double maximumCoverageShare = 0.45;
/** Upstreams with a higher probability of a gray failure are not due for requests. By the time the probability has decayed to
 * this value, a gray failure of about eight seconds has a fair chance of having ended. */
constexpr double exploredProbability = 0.4;
constexpr double exploredProbabilityRetryable = 0.6;
/** Spreads requests over due upstreams with similar idle times. */
constexpr double idleJitterSeconds = 0.3;
/** Spreads requests over likely gray upstreams with similar probabilities. */
constexpr double probabilityJitter = 0.15;

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

/** True if a failed attempt can be followed by another one. */
bool isRetryable(const ChoiceRequest &request)
{
    return request.repeatability == routing::Repeatability::Idempotent && request.retryAllowed;
}

/** Probability, by a rule of thumb, that the answer comes too late because of the requests queued ahead. */
double missProbability(const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds)
{
    const double slots = std::max(1, record.entry.slots);
    const double rounds = std::max(1.0, (record.inFlight() + 1) / slots);
    const double neededShare = rounds * medianLatencySeconds / toSeconds(std::max(request.timeLeft, Duration{1}));
    return std::clamp((neededShare - comfortableTimeShare) / (1 - comfortableTimeShare), 0.0, 1.0);
}

double costOf(TimePoint now, const UpstreamRecord &record, const ChoiceRequest &request, double medianLatencySeconds)
{
    double cost = record.grayEstimate.probability(now) * (isRetryable(request) ? failureCostRetryable : failureCost);
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

/** A caller that returns after this time finds the upstreams that take the place of those that leave now: their entries have
 * reached all instances. */
constexpr Duration newUpstreamTime = std::chrono::seconds{1};
/** Longer idle times count as this long. */
constexpr Duration maximumIdleTime = std::chrono::seconds{10};

/** Selects upstreams that need a request even though others have a lower cost.
 *
 * The floor: a share of the ready upstreams must each have had a request recently. Requests go to those of the idle ones that
 * are least likely gray, and to no more than the floor lacks, because a failure without a retry loses the request.
 * Exploration: requests also go to new upstreams, and to idle ones that are probably healthy. Retryable requests accept a
 * higher probability of a failure. */
class Coverage
{
public:
    void consider(TimePoint now, UpstreamRecord &record, const ChoiceRequest &request, RandomSource &random)
    {
        if (now < record.coldUntil) {
            return;
        }
        const Duration idle = now - record.lastUsed;
        m_idleTimes.push_back(idle);
        const double probability = record.grayEstimate.probability(now);
        if (idle >= floorIdleTime) {
            const double score = probability + probabilityJitter * uniform(random);
            if (score < m_floorScore) {
                m_floorScore = score;
                m_floorCandidate = &record;
            }
        }
        const double explored = isRetryable(request) ? exploredProbabilityRetryable : exploredProbability;
        const bool isNew = record.lastUsed == TimePoint{};
        if (isNew || (idle >= coverageIdleTime && probability <= explored)) {
            ++m_dueCount;
            const double idleSeconds = toSeconds(std::min(idle, maximumIdleTime)) + idleJitterSeconds * uniform(random);
            if (idleSeconds > m_dueIdleSeconds) {
                m_dueIdleSeconds = idleSeconds;
                m_due = &record;
            }
        }
    }

    /** Returns the upstream that this request should cover, or nullptr. */
    UpstreamRecord *pick(const ChoiceRequest &request, int ready, RandomSource &random)
    {
        const double floorRequests = wantedForFloor(request, ready);
        if (m_floorCandidate != nullptr && uniform(random) < floorRequests) {
            return m_floorCandidate;
        }
        const double requestsPerPeriod = request.requestsPerSecond * toSeconds(reportPeriod);
        if (m_due != nullptr && uniform(random) < std::min(maximumCoverageShare, m_dueCount / std::max(1.0, requestsPerPeriod))) {
            return m_due;
        }
        return nullptr;
    }

private:
    /** Returns the share of requests that should go to upstreams that the floor lacks. */
    double wantedForFloor(const ChoiceRequest &request, int ready)
    {
        const auto needed = static_cast<std::size_t>(std::ceil(request.floorShare * ready));
        // The upstreams with the shortest idle times count towards the floor; their order does not matter.
        const auto end = m_idleTimes.begin() + static_cast<std::ptrdiff_t>(std::min(needed, m_idleTimes.size()));
        std::nth_element(m_idleTimes.begin(), end, m_idleTimes.end());
        int missing = 0;
        for (auto idle = m_idleTimes.begin(); idle != end; ++idle) {
            if (*idle >= floorUrgentIdleTime) {
                return 1;
            }
            missing += *idle >= floorIdleTime ? 1 : 0;
        }
        return std::min(maximumCoverageShare, missing / std::max(1.0, request.requestsPerSecond * toSeconds(floorSpreadTime)));
    }

    std::vector<Duration> m_idleTimes;
    UpstreamRecord *m_floorCandidate = nullptr; ///< about the least likely gray of the idle upstreams
    double m_floorScore = std::numeric_limits<double>::max();
    UpstreamRecord *m_due = nullptr; ///< due upstream with about the longest idle time
    double m_dueIdleSeconds = 0;
    int m_dueCount = 0;
};

/** Collects why no request may be sent now, and until when. */
class Unavailability
{
public:
    explicit Unavailability(bool anyUpstream)
        : m_allLeaving(anyUpstream)
    {
    }

    /** An upstream that does not leave. wait: until its announcements allow a request. */
    void considerStaying(TimePoint now, const UpstreamRecord &record, Duration wait)
    {
        m_allLeaving = false;
        m_retryAfter = std::min(m_retryAfter, std::max(wait, record.unusableUntil - now));
        m_anyResting = m_anyResting || record.announced.resting(now);
    }

    /** An upstream that this request must not use yet. */
    void considerWaiting(Duration wait)
    {
        m_wait = std::min(m_wait, wait);
    }

    /** An upstream that may take this request before long, at a time that is not known. */
    void considerReturning()
    {
        m_mayReturn = true;
    }

    /** Sets the reason and the times. */
    void explain(UpstreamChoice &choice) const
    {
        if (m_allLeaving) {
            choice.reason = ChoiceReason::AllLeaving;
            choice.wait = newUpstreamTime;
            choice.retryAfter = newUpstreamTime;
            return;
        }
        // A request that may use none of the upstreams is worth a wait only if they are not all known to reject it.
        const bool allRestricted = choice.ready > 0 || (!m_mayReturn && m_retryAfter > Duration::zero() && m_retryAfter < Duration::max());
        if (allRestricted) {
            choice.reason = m_anyResting ? ChoiceReason::Resting : ChoiceReason::RateLimited;
            choice.wait = m_wait;
            choice.retryAfter = m_retryAfter;
        }
    }

private:
    bool m_allLeaving;
    bool m_anyResting = false;
    bool m_mayReturn = false;
    Duration m_wait = Duration::max(); ///< until an upstream that this request may use allows it
    Duration m_retryAfter = Duration::max(); ///< until any upstream of the service allows a request
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
            unavailability.considerReturning();
            unavailability.considerWaiting(record->unusableUntil - now);
            continue;
        }
        ++choice.ready;
        if (wait > Duration::zero()) {
            unavailability.considerWaiting(wait);
            continue;
        }
        const bool leftToOthers = record->announced.rateLimit.active() && uniform(random) >= admission;
        if (!hasRoom(now, *record) || leftToOthers) {
            canHaveRoomSoon = true;
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
    // Retries are not used for coverage, since a retry should not risk a second failure.
    UpstreamRecord *covered = request.excluded.empty() ? coverage.pick(request, choice.ready, random) : nullptr;
    if (covered != nullptr) {
        choice.upstream = covered;
        choice.reason = ChoiceReason::Coverage;
        choice.cost = costOf(now, *covered, request, medianLatencySeconds);
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
