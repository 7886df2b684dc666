#include "health/graydetector.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Failure rate of a gray upstream that the test looks for; lower ones are found too, but later. */
constexpr double grayFailureRate = 0.5;
/** Lower bound of the healthy failure rate: a service that never failed must not eject on its first two errors. */
constexpr double smallestFailureRate = 0.005;
constexpr double largestFailureRate = 0.9;
/** Evidence from which on an upstream is looked at more closely: one failure, or one clearly slow answer. */
constexpr double suspicion = 0.5;
/** Without a further bad answer for this long, ordinary work goes to a suspect again: where no request may serve as a
 * check, nothing else could clear it. The score is kept. */
constexpr Duration suspicionLifetime = std::chrono::seconds{2};
/** How long one rather slow answer calls for a check. */
constexpr Duration checkTime = std::chrono::milliseconds{500};
/** Scores stop growing at this multiple of the threshold, so that a recovery shows soon. */
constexpr double scoreBound = 1.5;
constexpr double shareWeight = 0.1; ///< of the newest answer in the moving shares
constexpr double excessWeight = 0.3; ///< of the newest answer in the moving slowness
constexpr double severityOfFailure = 10; ///< failing always is worse than being slow
constexpr double microsecondsPerSecond = 1e6;
constexpr int mostHeldFailures = 10;
/** Sibling upstreams that must have answered well, after the first evidence, before an upstream is ejected. */
constexpr std::size_t minimumWellSiblings = 1;

bool countsOnlyWithNewConnection(const Observation &observation)
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

void GrayDetector::adoptPolicy(const contract::HealthPolicy &policy, const UpstreamMapping &mapping)
{
    detail::rearrange(m_upstreams, mapping, Upstream{});
    m_baseline.rearrange(mapping);
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
    m_upstreams[upstream].running.push_back({attempt, operation, now, slowAfter, freshConnection});
}

std::optional<bool> GrayDetector::observe(TimePoint now, std::size_t upstream, const Observation &observation, bool forgiveSlowness)
{
    auto &state = m_upstreams[upstream];
    std::erase_if(state.running, [&observation](const Running &running) {
        return running.attempt == observation.attempt;
    });
    state.shedShare += shareWeight * ((observation.outcome == OutcomeKind::Shed ? 1.0 : 0.0) - state.shedShare);
    if (observation.outcome == OutcomeKind::Shed) {
        return std::nullopt;
    }
    if (isFailure(observation.outcome)) {
        return observeFailure(now, upstream, observation);
    }
    const double ratio =
        slownessRatio(observation.operation, upstream, observation.firstByte, observation.outcome == OutcomeKind::Abandoned);
    const bool slow = ratio > 0 && !forgiveSlowness;
    if (observation.outcome == OutcomeKind::Abandoned) {
        // That we gave up early says nothing in favour of the upstream; that it was slow by then counts against it.
        if (!slow) {
            return std::nullopt;
        }
        addSlowness(now, upstream, ratio);
        countAnswer(now, upstream, true);
        return true;
    }
    if (observation.newConnection) {
        state.heldFailures = 0;
    }
    if (state.errors > 0) {
        const double healthy = healthyFailureRate(upstream);
        state.errors = std::max(0.0, state.errors + std::log((1 - grayRate(healthy)) / (1 - healthy)));
    }
    state.failureShare -= shareWeight * state.failureShare;
    if (!forgiveSlowness) {
        addSlowness(now, upstream, ratio);
        updateExcess(upstream, observation);
        m_baseline.add(observation.operation, upstream, observation.firstByte);
    }
    countAnswer(now, upstream, slow);
    return slow;
}

std::optional<bool> GrayDetector::observeFailure(TimePoint now, std::size_t upstream, const Observation &observation)
{
    auto &state = m_upstreams[upstream];
    if (countsOnlyWithNewConnection(observation)) {
        state.heldFailures = std::min(state.heldFailures + 1, mostHeldFailures);
        return std::nullopt;
    }
    int failures = 1;
    if (observation.newConnection) {
        failures += state.heldFailures;
        state.heldFailures = 0;
    }
    for (int count = 0; count < failures; ++count) {
        addFailure(now, upstream);
        countAnswer(now, upstream, true);
    }
    return true;
}

void GrayDetector::addFailure(TimePoint now, std::size_t upstream)
{
    auto &state = m_upstreams[upstream];
    noteSuspicion(now, state);
    const double healthy = healthyFailureRate(upstream);
    const double step = std::log(grayRate(healthy) / healthy);
    state.errors = std::min(state.errors + step, m_policy.ejectionThreshold * scoreBound);
    state.failureShare += shareWeight * (1 - state.failureShare);
}

void GrayDetector::addSlowness(TimePoint now, std::size_t upstream, double ratio)
{
    auto &state = m_upstreams[upstream];
    if (ratio > 0) {
        noteSuspicion(now, state);
    }
    state.slowness = std::clamp(state.slowness + ratio, 0.0, m_policy.ejectionThreshold * scoreBound);
}

void GrayDetector::updateExcess(std::size_t upstream, const Observation &observation)
{
    const auto baseline = m_baseline.siblingMedianLog(observation.operation, upstream);
    if (!baseline) {
        return;
    }
    auto &state = m_upstreams[upstream];
    const double excess = std::log(static_cast<double>(std::max<Duration::rep>(observation.firstByte.count(), 1))) - *baseline;
    state.lastExcess = excess;
    state.recentExcess += excessWeight * (excess - state.recentExcess);
}

void GrayDetector::noteSuspicion(TimePoint now, Upstream &state)
{
    if (state.errors <= 0 && state.slowness <= 0) {
        state.suspectSince = now;
    }
}

void GrayDetector::countAnswer(TimePoint now, std::size_t upstream, bool bad)
{
    auto &state = m_upstreams[upstream];
    state.answered = true;
    state.lastAnswer = now;
    state.lastAnswerBad = bad;
    if (bad) {
        ++state.badAnswers;
        state.lastBad = now;
        state.everBad = true;
    }
    if (state.errors <= 0 && state.slowness <= 0) {
        state.badAnswers = 0;
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
    score.severity = severityOfFailure * state.failureShare + std::max(0.0, state.recentExcess) + (running.slow > 0 ? 1 : 0);
    return score;
}

bool GrayDetector::hasEvidence(TimePoint now, std::size_t upstream) const
{
    return score(now, upstream).larger() >= suspicion;
}

bool GrayDetector::isSuspect(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const bool recent = state.everBad && now - state.lastBad < suspicionLifetime;
    return (recent || inProgressEvidence(now, upstream).slow > 0) && hasEvidence(now, upstream);
}

bool GrayDetector::isGray(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    // Open connections can go silent while the upstream is well, so requests that hang on them count once at most.
    const double slowness = state.slowness + running.fresh + std::min(running.total - running.fresh, SlownessTest::largestStep);
    if (std::max(state.errors, slowness) < m_policy.ejectionThreshold) {
        return false;
    }
    return state.badAnswers + running.slow >= m_policy.minimumBadAnswers && siblingsAreWell(now, upstream);
}

bool GrayDetector::needsNewConnection(TimePoint now, std::size_t upstream) const
{
    if (m_upstreams[upstream].heldFailures > 0) {
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
    state.heldFailures = 0;
    state.failureShare = 0;
    state.recentExcess = 0;
    state.lastExcess = 0;
}

double GrayDetector::grayRate(double healthyRate)
{
    return std::max(grayFailureRate, (1 + healthyRate) / 2);
}

double GrayDetector::healthyFailureRate(std::size_t upstream) const
{
    std::vector<double> shares;
    shares.reserve(m_upstreams.size());
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (index != upstream && m_upstreams[index].answered) {
            shares.push_back(m_upstreams[index].failureShare);
        }
    }
    if (shares.empty()) {
        return smallestFailureRate;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return std::clamp(*middle, smallestFailureRate, largestFailureRate);
}

bool GrayDetector::deservesCheck(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    if (state.lastExcess >= m_slowness.checkExcess() && now - state.lastAnswer < checkTime) {
        return true;
    }
    const bool overdue = std::any_of(state.running.begin(), state.running.end(), [now](const Running &running) {
        return running.slowAfter != Duration::max() && now - running.started >= running.slowAfter * SlownessTest::checkPart;
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
        if (now - running.started < running.slowAfter) {
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

bool GrayDetector::siblingsAreWell(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const bool scored = state.errors > 0 || state.slowness > 0;
    const auto since = scored ? state.suspectSince : inProgressEvidence(now, upstream).earliest;
    std::size_t well = 0;
    std::size_t bad = 0;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const auto &sibling = m_upstreams[index];
        if (index == upstream || !sibling.answered || sibling.lastAnswer < since) {
            continue;
        }
        (sibling.lastAnswerBad ? bad : well) += 1;
    }
    // Three in five: a data centre of three may fail, but a fault that most siblings share is the service's.
    return well >= minimumWellSiblings && 2 * well > 3 * bad;
}

} // namespace jackdawdoor::health
