/** Cost-based selection of the upstream for one attempt.
 *
 * The cost of an upstream is the expected cost of a failure plus the expected delay. A failure loses an at-most-once
 * request, so such requests go to upstreams that have answered recently. For an idempotent request a failure only costs
 * time, so it may also go to upstreams without recent evidence. Every upstream that is not believed to be in a gray failure
 * receives a request from some instance every two seconds. This detects new and recovered upstreams, and keeps the load from
 * concentrating on a few of many healthy ones.
 */
#pragma once

#include "base/random.h"
#include "fleet/upstreamtable.h"
#include "routing/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawdoor::fleet {

/** Properties of the attempt that affect the choice. */
struct ChoiceRequest {
    ServiceId service;
    routing::Repeatability repeatability = routing::Repeatability::AtMostOnce;
    DataCentreId dataCentre; ///< of this instance
    std::vector<UpstreamId> excluded; ///< upstreams used by earlier attempts
    double requestsPerSecond = 0; ///< of the service, summed over all instances; zero if unknown
    double floorShare = 0; ///< share of the ready upstreams that must receive requests, even if they are likely gray
    bool retryAllowed = true; ///< the retry budget covers a retry if this attempt of an idempotent request fails
    Duration timeLeft = Duration::max(); ///< until the answer is needed
    std::size_t bodyBytes = 0; ///< of the request
    Duration objectiveLeft = Duration::max(); ///< until the answer is late; the maximum without an objective, or once it is missed
    double queueShare = 1; ///< of the room for queued requests at each upstream that this request may use
};

/** True if a failed attempt can be followed by another one. */
bool isRetryable(const ChoiceRequest &request);

/** Why an upstream was chosen or none was. */
enum class ChoiceReason {
    LeastCost,
    Coverage, ///< no instance has used this upstream recently
    NoUpstream, ///< the service has no ready upstream, but one may become ready soon
    AllLeaving, ///< all upstreams of the service have said, in their entries or answers, that they leave
    NoRoom, ///< all ready upstreams are at capacity
    RateLimited, ///< the rate limits of all ready upstreams are used up
    Resting, ///< the ready upstreams have asked this instance for a rest, or have used up their rate limits
};

/** Result of a choice. */
struct UpstreamChoice {
    UpstreamRecord *upstream = nullptr;
    ChoiceReason reason = ChoiceReason::NoUpstream;
    double grayProbability = 0; ///< probability that the chosen upstream is in a gray failure
    double cost = 0;
    int ready = 0; ///< number of usable upstreams
    Duration wait{}; ///< without an upstream: time until this request may find one, if that is known
    Duration retryAfter{}; ///< the same for a new request, which may use the excluded upstreams as well
};

/** Returns the name used in logs, such as "least-cost". */
const char *reasonName(ChoiceReason reason);

/** Chooses among the ready upstreams of the service that are not excluded. */
UpstreamChoice chooseUpstream(TimePoint now, const UpstreamTable &table, const ChoiceRequest &request, RandomSource &random);

} // namespace jackdawdoor::fleet
