/** How one ejected upstream comes back. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <cstdint>

namespace jackdawdoor::health {

/** Ejection with a delay that doubles with each relapse, then single trials, then a growing share of traffic. */
class Probation
{
public:
    explicit Probation(const contract::HealthPolicy &policy);

    /** Continues with later delays and numbers of trials. */
    void adoptPolicy(const contract::HealthPolicy &policy);

    /** Ejects the upstream; a repeated ejection while ejected changes nothing. */
    void eject(TimePoint now);

    /** Continues an ejection that another instance began. */
    void resume(TimePoint now, std::uint32_t consecutiveEjections, Duration remaining);

    /** A trial was sent; the next one is due after its result. */
    void trialStarted(TimePoint now);

    /** Result of a trial. Returns true when the upstream passed its probation by it. */
    bool trialFinished(TimePoint now, bool good);

    /** A trial ended without saying anything, for example because it was shed. */
    void trialInconclusive(TimePoint now);

    /** Ends the ejection and starts the ramp. */
    void endEjection(TimePoint now);

    /** Takes the ejection back without a ramp, because the floor needs the upstream; keeps the consecutiveEjections. */
    void cancelEjection(TimePoint now);

    bool isEjected() const;
    bool isTrialDue(TimePoint now) const;
    bool isTrialRunning() const;
    /** The result of a trial did not come in time; it counts as failed. */
    bool hasTrialExpired(TimePoint now) const;
    /** No request that may serve as a trial came for long; the ramp alone must do. */
    bool isTrialOverdue(TimePoint now) const;
    Duration remaining(TimePoint now) const;
    std::uint32_t consecutiveEjections() const;
    std::uint32_t trialsPassed() const;

    /** Share of its normal traffic that the upstream should get: 0 while ejected, 1 after the ramp. */
    double share(TimePoint now) const;

private:
    Duration delay() const;

    contract::HealthPolicy m_policy;
    bool m_ejected = false;
    bool m_trialRunning = false;
    std::uint32_t m_consecutiveEjections = 0;
    std::uint32_t m_trialsPassed = 0;
    TimePoint m_nextTrial;
    TimePoint m_trialTimeout;
    TimePoint m_returned;
    TimePoint m_rampStart;
    bool m_everEjected = false;
};

} // namespace jackdawdoor::health
