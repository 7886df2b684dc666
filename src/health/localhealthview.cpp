/** The part of LocalHealth that provides upstream state to routing. */
#include "health/localhealth.h"

#include <algorithm>

namespace jackdawdoor::health {

namespace {

/** Concurrent checks of one suspect. */
constexpr int maximumConcurrentChecks = 4;
/** Bounds on consecutive checks, of any upstream, between requests to upstreams that need none. An ejection requires recent
 * answers of the latter too, and only they show that the service is slow as a whole. Failures are unambiguous, so alternating
 * detects them soonest; slowness requires more answers of the suspect. */
constexpr int maximumConsecutiveFailureChecks = 1;
constexpr int maximumConsecutiveSlownessChecks = 4;
/** Good answers within one report after which a confirmation needs no further checks. */
constexpr std::uint32_t confirmingAnswers = 5;
/** Interval of checks for an upstream that only the floor keeps, and the idle time after which it counts as suspect no more. */
constexpr Duration keptCheckInterval = std::chrono::milliseconds{500};
constexpr Duration keptIdleLimit = std::chrono::seconds{10};
/** Weight of failures and shed responses in the expected latency. */
constexpr double failurePenalty = 4;
constexpr double shedPenalty = 4;
/** Latency assumed before the first answer; its value is irrelevant as long as all upstreams share it. */
constexpr Duration assumedLatency = std::chrono::milliseconds{10};

} // namespace

UpstreamState LocalHealth::stateOf(TimePoint now, const UpstreamId &upstream) const
{
    UpstreamState state;
    const auto index = indexOf(upstream);
    if (!index) {
        state.standing = Standing::Leaving;
        state.share = 0;
        return state;
    }
    const auto &entry = m_entries[*index];
    const auto score = m_detector.score(now, *index);
    const bool suspect = m_detector.isSuspect(now, *index);
    state.share = entry.probation.share(now);
    state.inProgress = m_detector.inProgress(*index);
    state.idleTime = now - entry.lastStarted;
    state.severity = score.severity;
    state.preferred = m_subset.contains(*index);
    state.newConnection = m_detector.needsNewConnection(now, *index);
    if (entry.leaving || entry.draining) {
        state.standing = entry.leaving ? Standing::Leaving : Standing::Draining;
        return state;
    }
    if (entry.probation.isEjected()) {
        state.trialDue = isTrialAllowed(now, entry);
        state.standing = state.trialDue ? Standing::Probation : Standing::Ejected;
        return state;
    }
    const bool confirmationWanted = now < entry.confirmationUntil && entry.good < confirmingAnswers;
    const int maximumConsecutiveChecks = score.errors > score.slowness ? maximumConsecutiveFailureChecks : maximumConsecutiveSlownessChecks;
    const bool kept = entry.keptByFloor && state.idleTime < keptIdleLimit;
    if (entry.keptByFloor) {
        state.checkDue = state.idleTime >= keptCheckInterval && state.inProgress == 0;
    } else {
        state.checkDue = (confirmationWanted || m_detector.needsCheck(now, *index)) && state.inProgress < maximumConcurrentChecks
                         && m_consecutiveChecks < maximumConsecutiveChecks;
    }
    if (isCold(now, entry)) {
        state.standing = Standing::Cold;
    } else if (suspect || kept) {
        state.standing = Standing::Suspect;
    } else if (state.share < 1) {
        state.standing = Standing::Ramping;
    }
    return state;
}

Duration LocalHealth::expectedLatency(const OperationId &operation, const UpstreamId &upstream) const
{
    const auto &baseline = m_detector.baseline();
    const auto index = indexOf(upstream);
    const auto median = baseline.median(operation).value_or(assumedLatency);
    if (!index) {
        return median;
    }
    const auto own = baseline.ownLatency(operation, *index).value_or(median);
    const double failures = m_detector.failureShare(*index);
    // The latency of failures is not learnt; in addition, a failing upstream never counts as faster than the median.
    const auto usual = failures > 0.01 ? std::max(own, median) : own;
    const double factor = 1 + failurePenalty * failures + shedPenalty * m_detector.shedShare(*index);
    return fromSeconds(toSeconds(usual) * factor);
}

} // namespace jackdawdoor::health
