/** Model of one service on the users' platform, in virtual time.
 *
 * Instances with their own knowledge choose upstreams with the product's code; upstreams have slots, a queue and gray
 * episodes. Sockets, the store and membership are left out. It serves to compare policies over many seeds before a day of
 * the users' bench is played.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "routing/route.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::platformmodel {

/** A service and its callers. */
struct ServiceLoad {
    std::string name;
    routing::Repeatability repeatability = routing::Repeatability::AtMostOnce;
    int upstreams = 21;
    int slots = 6;
    double perSecond = 55;
    double workSeconds = 0.46;
    int instances = 12; ///< that have requests
    int maximumAttempts = 3;
    double episodeSeconds = 9; ///< mean length of a gray episode
    double episodeShare = 0.3; ///< of time that an upstream spends in episodes
    double episodeFailures = 0.9; ///< share of the requests that fail in one
    double soundFailures = 0.012;
    Duration killEvery{}; ///< about half of the instances end at once, for two seconds; zero: never
};

/** What came of it. */
struct ServiceFigures {
    int requests = 0;
    int served = 0;
    int failed = 0; ///< ended by a failure or with an instance
    int refused = 0; ///< ended as not run
    int retries = 0;
    int coverage = 0; ///< choices made to cover an upstream
    int coverageFailed = 0;
    int windows = 0; ///< of two seconds, in which some requests were sent
    int narrowWindows = 0; ///< fewer than the floor's share of the sound upstreams had requests
    int brokenFloors = 0; ///< narrow, and more than a tenth but under half of the requests were not served

    void add(const ServiceFigures &other);
};

/** Runs the model for a length of virtual time. The same seed gives the same figures. */
ServiceFigures runService(const ServiceLoad &load, Duration length, std::uint64_t seed);

} // namespace jackdawdoor::platformmodel
