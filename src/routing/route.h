/** Routes of the operator's configuration: which service answers which path, and what may be done with a request. */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace jackdawdoor::routing {

/** Whether a request may run more than once. */
enum class Repeatability {
    Idempotent, ///< may be retried and hedged
    AtMostOnce, ///< runs at most once for each client attempt
};

/** One service of a route with its share of the requests. */
struct WeightedService {
    ServiceId service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/** One rule of one host. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::vector<WeightedService> services; ///< one, or the parts of a split
    Duration timeout{}; ///< longest time without a final answer; zero: none is set
    Duration latencyObjective{}; ///< an answer within it earns its full credit; zero: none is set
    int maxAttempts = 1; ///< upstreams to which one request may be sent
    int priority = 0; ///< 0 is the most urgent

    bool operator==(const Route &) const = default;
};

/** What the operator says of a service. */
struct ServiceLimits {
    ServiceId service;
    int maxConnections = 0; ///< to each upstream, from all instances together; zero: not limited

    bool operator==(const ServiceLimits &) const = default;
};

/** Bounds on what a caller may send. */
struct CallerLimits {
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024;
    std::size_t maximumBodyBytes = std::size_t{64} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace jackdawdoor::routing
