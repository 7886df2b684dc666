/** One instance's share of a service's fleet-wide retry budget.
 *
 * Two decaying token buckets. Each request deposits a fraction of the ratio into one and a fraction of the slack into the
 * other: the slack of a window divided by the fleet's requests in it, which the instances report to each other. Balances
 * decay, so that instances with earlier requests, and callers that move between instances, cannot bring more tokens into a
 * window than the requests just before it deposited. So the fleet's bound holds however the requests are distributed.
 */
#pragma once

#include "limits/fleetretrylimits.h"

namespace jackdawdoor::limits {

/** Starts with an empty balance, so that restarts add no tokens. */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(const FleetRetryLimits &limits);

    /** A request of the service has arrived at this instance. */
    void onOriginal(TimePoint now);

    /** Requests of the service have arrived at another instance. */
    void onRemoteRequests(TimePoint now, int requests);

    /** True when the balance covers a retry or hedge. */
    bool allows(TimePoint now);

    /** Withdraws one retry; returns false, and withdraws nothing, when the budget does not allow it. */
    bool tryRetry(TimePoint now);

    /** Moving average of the service's requests per second at all instances. */
    double requestsPerSecond(TimePoint now);

    /** Own requests since the last call, for the report to the other instances. */
    int takeUnreportedRequests();

private:
    void advance(TimePoint now);

    FleetRetryLimits m_limits;
    double m_ratioBalance = 0; ///< tokens deposited from the ratio
    double m_slackBalance = 0; ///< tokens deposited from the slack
    double m_recentRequests; ///< of the fleet; decays
    int m_unreported = 0;
    TimePoint m_updated{};
};

} // namespace jackdawdoor::limits
