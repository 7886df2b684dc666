#include "health/probation.h"

#include <algorithm>

namespace jackdawdoor::health {

namespace {

/** Time in which the traffic share grows from initialShare to 1 after a return. */
constexpr Duration rampTime = std::chrono::seconds{5};
constexpr double initialShare = 0.1;
/** A trial without a result by then has failed; shorter than maximumTrialWait, so that a hanging trial does not count as missing. */
constexpr Duration trialTimeout = std::chrono::seconds{5};
/** Delay after an inconclusive trial, such as a shed one. */
constexpr Duration inconclusivePause = std::chrono::seconds{1};
/** Without an idempotent request to use as a trial within this time, the upstream returns through the ramp alone. */
constexpr Duration maximumTrialWait = std::chrono::seconds{10};
/** Bound on the exponent of the backoff; the delay has reached its maximum by then. */
constexpr std::uint32_t maximumDoublings = 20;

} // namespace

Probation::Probation(const contract::HealthPolicy &policy)
    : m_policy(policy)
{
}

void Probation::adoptPolicy(const contract::HealthPolicy &policy)
{
    m_policy = policy;
}

void Probation::eject(TimePoint now)
{
    if (m_ejected) {
        return;
    }
    const bool repeated = m_everEjected && now - m_returned < 2 * m_policy.maximumProbationDelay;
    m_consecutiveEjections = repeated ? std::min(m_consecutiveEjections + 1, maximumDoublings) : 1;
    m_ejected = true;
    m_everEjected = true;
    m_trialRunning = false;
    m_trialsPassed = 0;
    m_nextTrial = now + delay();
}

void Probation::resume(TimePoint now, std::uint32_t consecutiveEjections, Duration remaining)
{
    if (!m_ejected || remaining > Duration::zero()) {
        m_trialsPassed = 0;
        m_trialRunning = false;
    }
    if (!m_ejected || remaining > Duration::zero() || m_nextTrial > now) {
        m_nextTrial = now + remaining;
    }
    m_ejected = true;
    m_everEjected = true;
    m_consecutiveEjections = std::clamp<std::uint32_t>(consecutiveEjections, 1, maximumDoublings);
}

void Probation::trialStarted(TimePoint now)
{
    m_trialRunning = true;
    m_trialTimeout = now + trialTimeout;
}

bool Probation::trialFinished(TimePoint now, bool good)
{
    m_trialRunning = false;
    if (!m_ejected) {
        return false;
    }
    if (good) {
        ++m_trialsPassed;
        m_nextTrial = now;
        return m_trialsPassed >= static_cast<std::uint32_t>(m_policy.probationTrials);
    }
    m_trialsPassed = 0;
    m_consecutiveEjections = std::min(m_consecutiveEjections + 1, maximumDoublings);
    m_nextTrial = now + delay();
    return false;
}

void Probation::trialInconclusive(TimePoint now)
{
    m_trialRunning = false;
    m_nextTrial = std::max(m_nextTrial, now + inconclusivePause);
}

void Probation::endEjection(TimePoint now)
{
    m_ejected = false;
    m_trialRunning = false;
    m_returned = now;
    m_rampStart = now;
}

void Probation::cancelEjection(TimePoint now)
{
    endEjection(now);
    m_rampStart = now - rampTime;
}

bool Probation::isEjected() const
{
    return m_ejected;
}

bool Probation::isTrialDue(TimePoint now) const
{
    return m_ejected && now >= m_nextTrial && !m_trialRunning;
}

bool Probation::isTrialRunning() const
{
    return m_trialRunning;
}

bool Probation::hasTrialExpired(TimePoint now) const
{
    return m_trialRunning && now >= m_trialTimeout;
}

bool Probation::isTrialOverdue(TimePoint now) const
{
    return isTrialDue(now) && now - m_nextTrial >= maximumTrialWait;
}

Duration Probation::remaining(TimePoint now) const
{
    return m_ejected ? std::max(Duration::zero(), m_nextTrial - now) : Duration::zero();
}

std::uint32_t Probation::consecutiveEjections() const
{
    return m_consecutiveEjections;
}

std::uint32_t Probation::trialsPassed() const
{
    return m_trialsPassed;
}

double Probation::share(TimePoint now) const
{
    if (m_ejected) {
        return 0;
    }
    if (!m_everEjected || now - m_rampStart >= rampTime) {
        return 1;
    }
    return initialShare + (1 - initialShare) * toSeconds(now - m_rampStart) / toSeconds(rampTime);
}

Duration Probation::delay() const
{
    const auto doublings = std::max<std::uint32_t>(m_consecutiveEjections, 1) - 1;
    const auto grown = m_policy.probationDelay.count() << std::min<std::uint32_t>(doublings, maximumDoublings);
    return std::min(Duration{grown}, std::max(m_policy.maximumProbationDelay, m_policy.probationDelay));
}

} // namespace jackdawdoor::health
