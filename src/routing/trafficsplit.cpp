#include "routing/trafficsplit.h"

#include <algorithm>

namespace jackdawdoor::routing {

const ServiceId &TrafficSplit::next(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    State &state = m_states[route.host + route.pathPrefix];
    if (state.services != route.services) {
        state.services = route.services;
        state.credit.assign(route.services.size(), 0);
    }
    double total = 0;
    for (std::size_t index = 0; index < state.services.size(); ++index) {
        state.credit[index] += state.services[index].weight;
        total += state.services[index].weight;
    }
    const auto best = std::max_element(state.credit.begin(), state.credit.end());
    *best -= total;
    return route.services[static_cast<std::size_t>(best - state.credit.begin())].service;
}

} // namespace jackdawdoor::routing
