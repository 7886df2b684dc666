/** Choice of the upstream for one attempt.
 *
 * The cost of an upstream is the expected loss of a failure there plus the expected wait. A request that may run only
 * once loses everything by a failure, so it goes to upstreams that have answered lately; one that may be repeated loses
 * some time, so it also tries those about which little is known. Every upstream that is not known to be bad gets a
 * request every two seconds from some instance: so that a new or recovered one is found, and so that the work is never
 * left with a few of many sound upstreams.
 */
#pragma once

#include "base/random.h"
#include "fleet/upstreamtable.h"
#include "routing/route.h"

#include <string>
#include <vector>

namespace jackdawdoor::fleet {

/** What an attempt asks for. */
struct ChoiceRequest {
    ServiceId service;
    routing::Repeatability repeatability = routing::Repeatability::AtMostOnce;
    DataCentreId dataCentre; ///< of this instance
    std::vector<UpstreamId> excluded; ///< upstreams of earlier attempts
    double requestsPerSecond = 0; ///< of the service at all instances; zero: not known
    double floorShare = 0; ///< share of the ready upstreams that get requests at all times, however doubted
};

/** Why an upstream was chosen or none was. */
enum class ChoiceReason {
    LeastCost,
    Coverage, ///< no instance has used this upstream lately
    NoUpstream, ///< the service has no upstream that is ready
    NoRoom, ///< all usable upstreams are full
};

/** Outcome of a choice. */
struct UpstreamChoice {
    UpstreamRecord *upstream = nullptr;
    ChoiceReason reason = ChoiceReason::NoUpstream;
    double grayProbability = 0; ///< probability that the chosen one is in a gray episode
    double cost = 0;
    int ready = 0; ///< upstreams considered
};

/** Name for log lines, such as "least-cost". */
const char *reasonName(ChoiceReason reason);

/** Picks among the upstreams of the service that are ready and not excluded. */
UpstreamChoice chooseUpstream(TimePoint now, const UpstreamTable &table, const ChoiceRequest &request, RandomSource &random);

} // namespace jackdawdoor::fleet
