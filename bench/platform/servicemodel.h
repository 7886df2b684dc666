/** Model of one service on the users' platform, in virtual time.
 *
 * Each instance chooses upstreams with the product's code from its own observations; upstreams have slots, a queue and
 * episodes of gray failure. Sockets, the store and membership are not modelled. Used to compare policies over many seeds
 * before running a day of the users' bench.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "routing/route.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::platformmodel {

/** Parameters of a service and its load. */
struct ServiceLoad {
    std::string name;
    routing::Repeatability repeatability = routing::Repeatability::AtMostOnce;
    int upstreams = 21;
    int slots = 6;
    double perSecond = 55;
    double workSeconds = 0.46;
    int instances = 12; ///< that receive requests
    int maximumAttempts = 3;
    double episodeSeconds = 9; ///< mean length of a gray episode
    double episodeShare = 0.3; ///< share of time an upstream spends in episodes
    double episodeFailures = 0.9; ///< share of requests that fail during an episode
    double healthyFailures = 0.012;
    double objectiveSeconds = 2; ///< later answers count as late
    double slowShare = 0; ///< share of the requests that last seven times as long
    Duration killEvery{}; ///< every second instance is killed and restarts after 2 s; zero: never
    double countedShare = 1; ///< share of the upstreams that the floor counts; the others had a recent disruption
};

/** Results of a run. */
struct ServiceFigures {
    int requests = 0;
    int served = 0;
    int failed = 0; ///< ended by a failure or by the end of the instance
    int refused = 0; ///< ended with "not run"
    int late = 0; ///< served after the objective
    int retries = 0;
    int coverage = 0; ///< attempts sent to an upstream only to keep it in use
    int coverageFailed = 0;
    int windows = 0; ///< overlapping windows of 2 s, evaluated every 0.5 s
    int narrowWindows = 0; ///< windows in which less than the floor share of the upstreams received requests
    int floorViolations = 0; ///< narrow windows in which between a tenth and half of the requests were not served

    void add(const ServiceFigures &other);
};

/** Runs the model for the given virtual time. Deterministic for a given seed. */
ServiceFigures runService(const ServiceLoad &load, Duration length, std::uint64_t seed);

} // namespace jackdawdoor::platformmodel
