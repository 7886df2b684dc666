#include "health/graydetector.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Score from which on an upstream is suspect: one failure, or one clearly slow answer. */
constexpr double suspicionThreshold = 0.5;
/** A suspect without a further bad answer for this long gets ordinary requests again, because without idempotent requests
 * there are no checks that could clear it. The score is kept. */
constexpr Duration suspicionLifetime = std::chrono::seconds{2};
/** Time after a rather slow answer during which a check is due. */
constexpr Duration checkLifetime = std::chrono::milliseconds{500};
/** Scores are capped at this multiple of the threshold, so that a recovery is detected soon. */
constexpr double maximumScoreFactor = 1.5;
constexpr double shareSmoothing = 0.1; ///< weight of the newest answer in the moving averages of shares
constexpr double excessSmoothing = 0.3; ///< weight of the newest answer in the moving average of slowness
constexpr double failureSeverity = 10; ///< failing outweighs being slow
constexpr double microsecondsPerSecond = 1e6;
constexpr double averagingSeconds = 2; ///< of the rate of answers
constexpr int maximumDeferredFailures = 10;
/** Answers of each upstream kept for the comparison with its siblings. */
constexpr std::size_t maximumRecentAnswers = 32;

bool mayBeConnectionFault(const Observation &observation)
{
    const bool silence = observation.outcome == OutcomeKind::Timeout || observation.outcome == OutcomeKind::Reset;
    return silence && !observation.newConnection;
}

} // namespace

double GrayScore::larger() const
{
    return std::max(errors, slowness);
}

GrayDetector::GrayDetector(const contract::HealthPolicy &policy, std::size_t upstreams)
    : m_policy(policy)
    , m_slowness(policy.slowRatio)
    , m_baseline(upstreams)
    , m_upstreams(upstreams)
{
}

void GrayDetector::adoptPolicy(TimePoint now, const contract::HealthPolicy &policy, const UpstreamMapping &mapping)
{
    detail::rearrange(m_upstreams, mapping, Upstream{});
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        for (Answer &answer : m_upstreams[index].recent) {
            answer.upstream = index;
        }
    }
    m_baseline.rearrange(now, mapping);
    m_slowness = SlownessTest(policy.slowRatio);
    m_policy = policy;
}

void GrayDetector::attemptStarted(TimePoint now,
                                  std::size_t upstream,
                                  std::uint64_t attempt,
                                  const OperationId &operation,
                                  bool freshConnection)
{
    const auto baseline = m_baseline.siblingMedianLog(operation, upstream);
    const auto slowAfter = baseline ? fromSeconds(std::exp(*baseline) * m_policy.slowRatio / microsecondsPerSecond) : Duration::max();
    m_upstreams[upstream].running.push_back({attempt, operation, now, slowAfter, freshConnection, false, false});
}

void GrayDetector::headArrived(TimePoint now, std::size_t upstream, std::uint64_t attempt, bool ignoreLatency)
{
    for (auto &running : m_upstreams[upstream].running) {
        if (running.attempt == attempt && !running.headSeen) {
            running.headSeen = true;
            running.slow = !ignoreLatency && learnLatency(now, upstream, running.operation, now - running.started);
        }
    }
}

std::optional<bool> GrayDetector::observe(TimePoint now, std::size_t upstream, const Observation &observation, bool ignoreLatency)
{
    auto &state = m_upstreams[upstream];
    Running attempt{observation.attempt, observation.operation, now - observation.firstByte, {}, false, false, false};
    std::erase_if(state.running, [&attempt](const Running &running) {
        const bool same = running.attempt == attempt.attempt;
        attempt = same ? running : attempt;
        return same;
    });
    state.shedShare += shareSmoothing * ((observation.outcome == OutcomeKind::Shed ? 1.0 : 0.0) - state.shedShare);
    if (observation.outcome == OutcomeKind::Shed) {
        return std::nullopt;
    }
    if (isFailure(observation.outcome)) {
        return observeFailure(now, upstream, observation, attempt.started);
    }
    if (observation.outcome == OutcomeKind::Abandoned) {
        return observeAbandoned(now, upstream, observation, ignoreLatency || attempt.headSeen);
    }
    if (observation.newConnection) {
        state.deferredFailures = 0;
    }
    if (state.errors > 0) {
        const double healthy = healthyFailureRate(now, upstream);
        state.errors = std::max(0.0, state.errors + std::log((1 - grayRate(healthy)) / (1 - healthy)));
    }
    state.failureShare -= shareSmoothing * state.failureShare;
    if (!attempt.headSeen && !ignoreLatency) {
        attempt.slow = learnLatency(now, upstream, observation.operation, observation.firstByte);
    }
    countAnswer({upstream, attempt.started, now, false, observation.operation, observation.firstByte}, attempt.slow);
    return attempt.slow;
}

std::optional<bool> GrayDetector::observeAbandoned(TimePoint now, std::size_t upstream, const Observation &observation, bool ignoreLatency)
{
    // A cancelled attempt is no evidence of health, but it counts against the upstream if it was already slow.
    const double ratio = slownessRatio(observation.operation, upstream, observation.firstByte, true);
    if (ignoreLatency || ratio <= 0) {
        return std::nullopt;
    }
    addSlowness(now, upstream, ratio);
    countAnswer({upstream, now - observation.firstByte, now, false, observation.operation, observation.firstByte}, true);
    return true;
}

std::optional<bool> GrayDetector::observeFailure(TimePoint now, std::size_t upstream, const Observation &observation, TimePoint started)
{
    auto &state = m_upstreams[upstream];
    if (mayBeConnectionFault(observation)) {
        state.deferredFailures = std::min(state.deferredFailures + 1, maximumDeferredFailures);
        return std::nullopt;
    }
    int failures = 1;
    if (observation.newConnection) {
        failures += state.deferredFailures;
        state.deferredFailures = 0;
    }
    for (int count = 0; count < failures; ++count) {
        addFailure(now, upstream);
        countAnswer({upstream, started, now, true, observation.operation, observation.firstByte}, true);
    }
    return true;
}

bool GrayDetector::learnLatency(TimePoint now, std::size_t upstream, const OperationId &operation, Duration latency)
{
    const double ratio = slownessRatio(operation, upstream, latency, false);
    addSlowness(now, upstream, ratio);
    updateExcess(upstream, operation, latency);
    m_baseline.add(now, operation, upstream, latency);
    return ratio > 0;
}

void GrayDetector::addFailure(TimePoint now, std::size_t upstream)
{
    auto &state = m_upstreams[upstream];
    updateSuspectSince(now, state);
    const double healthy = healthyFailureRate(now, upstream);
    const double step = std::log(grayRate(healthy) / healthy);
    state.errors = std::min(state.errors + step, m_policy.ejectionThreshold * maximumScoreFactor);
    state.failureShare += shareSmoothing * (1 - state.failureShare);
}

void GrayDetector::addSlowness(TimePoint now, std::size_t upstream, double ratio)
{
    auto &state = m_upstreams[upstream];
    if (ratio > 0) {
        updateSuspectSince(now, state);
    }
    state.slowness = std::clamp(state.slowness + ratio, 0.0, m_policy.ejectionThreshold * maximumScoreFactor);
}

void GrayDetector::updateExcess(std::size_t upstream, const OperationId &operation, Duration latency)
{
    const auto baseline = m_baseline.siblingMedianLog(operation, upstream);
    if (!baseline) {
        return;
    }
    auto &state = m_upstreams[upstream];
    const double excess = std::log(static_cast<double>(std::max<Duration::rep>(latency.count(), 1))) - *baseline;
    state.lastExcess = excess;
    state.recentExcess += excessSmoothing * (excess - state.recentExcess);
}

void GrayDetector::updateSuspectSince(TimePoint now, Upstream &state)
{
    if (state.errors <= 0 && state.slowness <= 0) {
        state.suspectSince = now;
    }
}

void GrayDetector::countAnswer(Answer answer, bool bad)
{
    auto &state = m_upstreams[answer.upstream];
    state.answered = true;
    state.lastAnswer = answer.at;
    if (bad) {
        ++state.badAnswers;
        state.lastBad = answer.at;
        state.everBad = true;
    }
    if (state.errors <= 0 && state.slowness <= 0) {
        state.badAnswers = 0;
    }
    m_answersPerSecond *= std::exp(-toSeconds(answer.at - m_lastAnswer) / averagingSeconds);
    m_answersPerSecond += 1 / averagingSeconds;
    m_lastAnswer = answer.at;
    state.recent.push_back(std::move(answer));
    if (state.recent.size() > maximumRecentAnswers) {
        state.recent.pop_front();
    }
}

GrayScore GrayDetector::score(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    GrayScore score;
    score.errors = state.errors;
    score.slowness = state.slowness + running.total;
    score.badAnswers = state.badAnswers + running.slow;
    score.severity = failureSeverity * state.failureShare + std::max(0.0, state.recentExcess) + (running.slow > 0 ? 1 : 0);
    return score;
}

bool GrayDetector::hasEvidence(TimePoint now, std::size_t upstream) const
{
    return score(now, upstream).larger() >= suspicionThreshold;
}

bool GrayDetector::isSuspect(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const bool recent = state.everBad && now - state.lastBad < suspicionLifetime;
    return (recent || inProgressEvidence(now, upstream).slow > 0) && hasEvidence(now, upstream);
}

bool GrayDetector::needsNewConnection(TimePoint now, std::size_t upstream) const
{
    if (m_upstreams[upstream].deferredFailures > 0) {
        return true;
    }
    const auto running = inProgressEvidence(now, upstream);
    return running.total > running.fresh;
}

void GrayDetector::reset(std::size_t upstream)
{
    auto &state = m_upstreams[upstream];
    state.errors = 0;
    state.slowness = 0;
    state.badAnswers = 0;
    state.deferredFailures = 0;
    state.failureShare = 0;
    state.recentExcess = 0;
    state.lastExcess = 0;
}

bool GrayDetector::needsCheck(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    if (state.lastExcess >= m_slowness.checkExcess() && now - state.lastAnswer < checkLifetime) {
        return true;
    }
    const bool overdue = std::any_of(state.running.begin(), state.running.end(), [now](const Running &running) {
        return !running.headSeen && running.slowAfter != Duration::max()
               && now - running.started >= running.slowAfter * SlownessTest::checkFraction;
    });
    return overdue || isSuspect(now, upstream);
}

double GrayDetector::slownessRatio(const OperationId &operation, std::size_t upstream, Duration latency, bool stillRunning) const
{
    const auto baseline = m_baseline.siblingMedianLog(operation, upstream);
    if (!baseline) {
        return 0;
    }
    const double excess = std::log(static_cast<double>(std::max<Duration::rep>(latency.count(), 1))) - *baseline;
    const double spread = m_baseline.spread(operation);
    return stillRunning ? m_slowness.runningRatio(excess, spread) : m_slowness.finishedRatio(excess, spread);
}

GrayDetector::InProgressEvidence GrayDetector::inProgressEvidence(TimePoint now, std::size_t upstream) const
{
    InProgressEvidence evidence;
    const auto &state = m_upstreams[upstream];
    for (const auto &running : state.running) {
        if (running.headSeen || now - running.started < running.slowAfter) {
            continue;
        }
        const double ratio = slownessRatio(running.operation, upstream, now - running.started, true);
        if (ratio <= 0) {
            continue;
        }
        evidence.total += ratio;
        evidence.fresh += running.freshConnection ? ratio : 0;
        evidence.slow += 1;
        evidence.earliest = std::min(evidence.earliest, running.started);
    }
    return evidence;
}

} // namespace jackdawdoor::health
