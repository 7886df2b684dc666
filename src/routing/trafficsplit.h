/** Weighted distribution of a route's requests over its services. */
#pragma once

#include "routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::routing {

/** Smooth weighted round robin. Unlike random selection, it keeps the shares exact in every sequence of requests. */
class TrafficSplit
{
public:
    /** Returns the service for the route's next request. The route must have at least one service. */
    const ServiceId &next(const Route &route);

private:
    struct State {
        std::vector<WeightedService> services;
        std::vector<double> credit; ///< by service; sums to zero
    };

    std::map<std::string, State> m_states; ///< by host and prefix
};

} // namespace jackdawdoor::routing
