/** Fleet-wide request rate limit that an upstream announces in its answers.
 *
 * A token bucket over the requests of all instances, without a coordinator: own requests are counted when they begin, those of
 * other instances when their notices arrive. Late notices make the balance negative, and the debt is paid back, so the limit
 * holds on average. Instances that see the same free token at the same time would all use it; admissionProbability() spreads
 * them.
 */
#pragma once

#include "base/time.h"

namespace jackdawdoor::fleet {

/** The rate limit of one upstream, as known to one instance. */
class FleetRateLimit
{
public:
    /** The upstream announces the limit. NaN and negative values are ignored. */
    void set(TimePoint now, double requestsPerSecond);

    /** The upstream announces no limit any more. */
    void clear();

    /** True while a limit is announced. */
    bool active() const;

    /** The announced limit. */
    double requestsPerSecond() const;

    /** Counts requests that any instance has sent to the upstream. */
    void count(TimePoint now, int requests);

    /** Returns the time until the next request may be sent; zero if it may be sent now. */
    Duration timeUntilAllowed(TimePoint now) const;

    /** Returns the probability with which one of the service's requests may use a free token, so that about one does before the
     * other instances know that the token is used. */
    static double admissionProbability(double serviceRequestsPerSecond);

private:
    double rate() const;
    double tokens(TimePoint now) const;

    bool m_active = false;
    double m_announced = 0; ///< requests a second
    double m_tokens = 0; ///< at m_updated; negative if more requests were sent than the limit allows
    TimePoint m_updated{};
};

} // namespace jackdawdoor::fleet
