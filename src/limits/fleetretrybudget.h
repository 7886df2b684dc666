/** One instance's part of a service's retry budget that the whole fleet shares.
 *
 * Each request deposits a part of the ratio and a part of the slack. The latter is the slack of a window by the requests
 * that the whole fleet gets in it, which the instances tell each other. Savings decay: instances that had requests earlier,
 * and callers that move between instances, cannot bring more savings into a window than the requests just before it have
 * earned. So the fleet's bound holds however the requests are spread.
 */
#pragma once

#include "limits/fleetretrylimits.h"

namespace jackdawdoor::limits {

/** Starts empty, so that restarts bring nothing. */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(const FleetRetryLimits &limits);

    /** A request of the service has arrived at this instance. */
    void onOriginal(TimePoint now);

    /** Requests of the service have arrived at another instance. */
    void onRemoteRequests(TimePoint now, int requests);

    /** True when a retry or hedge may be sent. */
    bool allows(TimePoint now);

    /** Withdraws one retry; returns false, and withdraws nothing, when the budget does not allow it. */
    bool tryRetry(TimePoint now);

    /** Requests of the service per second at all instances, a moving mean. */
    double requestsPerSecond(TimePoint now);

    /** Own requests since the last call, for the report to the other instances. */
    int takeUnreportedRequests();

private:
    void advance(TimePoint now);

    FleetRetryLimits m_limits;
    double m_ratioBalance = 0; ///< savings
    double m_slackBalance = 0; ///< savings
    double m_recentRequests; ///< of the fleet; decays
    int m_unreported = 0;
    TimePoint m_updated{};
};

} // namespace jackdawdoor::limits
