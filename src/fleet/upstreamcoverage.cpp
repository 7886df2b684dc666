#include "fleet/upstreamcoverage.h"

#include "fleet/concurrentplacement.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::fleet {

namespace {

/** An upstream without requests from any instance for this long is due for one. */
constexpr Duration coverageIdleTime = std::chrono::milliseconds{1100};
/** Each upstream that counts towards the floor needs a request within two seconds. From this idle time on, requests are used
 * to cover it with a probability that should send one within floorSpreadTime. */
constexpr Duration floorIdleTime = std::chrono::milliseconds{1300};
constexpr Duration floorSpreadTime = std::chrono::milliseconds{250};
/** From this idle time on, the probability is raised to send a request within floorUrgentSpreadTime. */
constexpr Duration floorUrgentIdleTime = std::chrono::milliseconds{1500};
constexpr Duration floorUrgentSpreadTime = std::chrono::milliseconds{100};
/** From this idle time on, any request covers it: the true idle time may be longer by the interval of load reports. */
constexpr Duration floorLatestIdleTime = std::chrono::milliseconds{1700};
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
/** Longer idle times count as this long. */
constexpr Duration maximumIdleTime = std::chrono::seconds{10};

} // namespace

void Coverage::consider(TimePoint now, UpstreamRecord &record, double grayProbability, const ChoiceRequest &request, RandomSource &random)
{
    if (now < record.coldUntil) {
        return;
    }
    const Duration idle = now - record.lastUsed;
    m_idleTimes.push_back(idle);
    if (idle >= floorIdleTime) {
        const double score = grayProbability + probabilityJitter * uniform(random);
        if (score < m_floorScore) {
            m_floorScore = score;
            m_floorCandidate = &record;
        }
    }
    const double explored = isRetryable(request) ? exploredProbabilityRetryable : exploredProbability;
    const bool isNew = record.lastUsed == TimePoint{};
    if (isNew || (idle >= coverageIdleTime && grayProbability <= explored)) {
        ++m_dueCount;
        const double idleSeconds = toSeconds(std::min(idle, maximumIdleTime)) + idleJitterSeconds * uniform(random);
        if (idleSeconds > m_dueIdleSeconds) {
            m_dueIdleSeconds = idleSeconds;
            m_due = &record;
        }
    }
}

UpstreamRecord *Coverage::pick(const ChoiceRequest &request, int ready, RandomSource &random)
{
    const double floorRequests = wantedForFloor(request, ready);
    if (m_floorCandidate != nullptr && uniform(random) < floorRequests) {
        return m_floorCandidate;
    }
    // Instances learn of each other's choices through load reports, so the fleet should send about one request per report period
    // to each upstream that is due.
    const double requestsPerPeriod = request.requestsPerSecond * toSeconds(loadReportPeriod);
    if (m_due != nullptr && uniform(random) < std::min(maximumCoverageShare, m_dueCount / std::max(1.0, requestsPerPeriod))) {
        return m_due;
    }
    return nullptr;
}

/** Returns the share of requests that should go to upstreams that the floor lacks. */
double Coverage::wantedForFloor(const ChoiceRequest &request, int ready)
{
    const auto needed = static_cast<std::size_t>(std::ceil(request.floorShare * ready));
    // The upstreams with the shortest idle times count towards the floor; their order does not matter.
    const auto end = m_idleTimes.begin() + static_cast<std::ptrdiff_t>(std::min(needed, m_idleTimes.size()));
    std::nth_element(m_idleTimes.begin(), end, m_idleTimes.end());
    int missing = 0;
    int urgent = 0;
    for (auto idle = m_idleTimes.begin(); idle != end; ++idle) {
        if (*idle >= floorLatestIdleTime) {
            return 1;
        }
        missing += *idle >= floorIdleTime ? 1 : 0;
        urgent += *idle >= floorUrgentIdleTime ? 1 : 0;
    }
    // Divided by the fleet's request rate, since all instances see the same idle upstreams until a notice of a request arrives.
    const double spread = missing / std::max(1.0, request.requestsPerSecond * toSeconds(floorSpreadTime));
    const double urgentSpread = urgent / std::max(1.0, request.requestsPerSecond * toSeconds(floorUrgentSpreadTime));
    return std::max(std::min(maximumCoverageShare, spread), std::min(1.0, urgentSpread));
}

} // namespace jackdawdoor::fleet
