/** Routes of the operator's configuration. */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace jackdawdoor::routing {

/** Execution semantics of a request. */
enum class Repeatability {
    Idempotent, ///< may be retried and hedged
    AtMostOnce, ///< runs at most once for each request of the client
};

/** A service with its weight in a traffic split. */
struct WeightedService {
    ServiceId service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/** Routing rule of one host. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::vector<WeightedService> services; ///< more than one if the route splits its traffic
    Duration timeout{}; ///< time limit for the final answer; zero if not set
    Duration latencyObjective{}; ///< latency objective; answers within it earn full credit; zero if not set
    int maxAttempts = 1; ///< upstreams that may run one request
    int priority = 0; ///< 0 is the highest
    bool isPublic = false; ///< its requests need no API key

    bool operator==(const Route &) const = default;
};

/** Limits that the operator sets for a service. */
struct ServiceLimits {
    ServiceId service;
    int maxConnections = 0; ///< to each upstream, summed over all instances; zero if unlimited

    bool operator==(const ServiceLimits &) const = default;
};

/** Limits on requests and connections of callers. */
struct CallerLimits {
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024;
    std::size_t maximumBodyBytes = std::size_t{64} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace jackdawdoor::routing
