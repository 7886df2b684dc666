/** Distribution of a route's requests over the services of its split. */
#pragma once

#include "routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::routing {

/** Smooth weighted round robin: the shares are exact over any run of requests, not only on average. */
class TrafficSplit
{
public:
    /** The service for the next request of the route. The route has one service at least. */
    const ServiceId &next(const Route &route);

private:
    struct State {
        std::vector<WeightedService> services;
        std::vector<double> credit; ///< by service; the sum is zero
    };

    std::map<std::string, State> m_states; ///< by host and prefix
};

} // namespace jackdawdoor::routing
