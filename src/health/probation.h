/** Probation of one ejected upstream: from the ejection back to full traffic. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <cstdint>

namespace jackdawdoor::health {

/** Ejection with exponential backoff, then single trials, then a ramp of the traffic share. */
class Probation
{
public:
    explicit Probation(const contract::HealthPolicy &policy);

    /** Switches to the delays and numbers of trials of a later policy. */
    void adoptPolicy(const contract::HealthPolicy &policy);

    /** Ejects the upstream; a repeated ejection while ejected changes nothing. */
    void eject(TimePoint now);

    /** Takes over an ejection that another instance started. */
    void resume(TimePoint now, std::uint32_t consecutiveEjections, Duration remaining);

    /** A trial was sent; the next one is due after its result. */
    void trialStarted(TimePoint now);

    /** Result of a trial. Returns true when the upstream passed its probation by it. */
    bool trialFinished(TimePoint now, bool good);

    /** A trial ended without a conclusive result, for example because it was shed. */
    void trialInconclusive(TimePoint now);

    /** Ends the ejection and starts the ramp. */
    void endEjection(TimePoint now);

    /** Cancels the ejection without a ramp, because the floor needs the upstream; keeps consecutiveEjections(). */
    void cancelEjection(TimePoint now);

    bool isEjected() const;
    bool isTrialDue(TimePoint now) const;
    bool isTrialRunning() const;
    /** True when a trial had no result in time; it counts as failed. */
    bool hasTrialExpired(TimePoint now) const;
    /** True when no request that may serve as a trial arrived for too long; the upstream then returns through the ramp alone. */
    bool isTrialOverdue(TimePoint now) const;
    Duration remaining(TimePoint now) const;
    /** Ejections and failed trials in close succession; determines the backoff. */
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
