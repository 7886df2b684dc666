/** Limit on the requests a second that an upstream takes from all instances together, as it states in its answers.
 *
 * A token bucket over the requests of the whole fleet: own requests are counted when they begin, those of other instances when
 * their notices arrive. Requests that are learnt of late make the balance negative and are paid back, so the limit holds on
 * average without a coordinator. Instances that see the same free token at the same time would all use it; fairShare() tells
 * with which probability a request may.
 */
#pragma once

#include "base/time.h"

namespace jackdawdoor::fleet {

/** The limit of one upstream, as known to one instance. */
class StatedLimit
{
public:
    /** The upstream states the limit. Not a number and negative values are ignored. */
    void set(TimePoint now, double requestsPerSecond);

    /** The upstream states no limit any more. */
    void clear();

    /** True while a limit is stated. */
    bool active() const;

    /** The stated limit. */
    double requestsPerSecond() const;

    /** Counts requests that any instance has sent to the upstream. */
    void count(TimePoint now, int requests);

    /** Returns the time until the next request may be sent; zero if it may be sent now. */
    Duration timeUntilAllowed(TimePoint now) const;

    /** Returns the probability with which one of the service's requests may use a free token. The fewer of them arrive before
     * the other instances know that the token is used, the higher it is. */
    static double fairShare(double serviceRequestsPerSecond);

private:
    double rate() const;
    double tokens(TimePoint now) const;

    bool m_active = false;
    double m_stated = 0; ///< requests a second
    double m_tokens = 0; ///< at m_updated; negative if more requests were sent than the limit allows
    TimePoint m_updated{};
};

} // namespace jackdawdoor::fleet
