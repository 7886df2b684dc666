/** Assignment of callers to instances. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "contract/policy.h"
#include "placement/placementtable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::placement {

/** Maximum number of addresses in an answer. */
constexpr std::size_t maximumAddresses = 3;

/** Instances that a caller should connect to, and the pair of instances that stores its idempotency keys. */
struct PlacementAnswer {
    std::vector<std::string> addresses; ///< "ip:port", most preferred first; empty if no instance can serve
    Duration timeToLive{}; ///< how long the caller may cache the answer
    std::optional<InstanceRef> home; ///< instance at the first address
    std::optional<InstanceRef> witness; ///< differs from the home; empty if no other instance is live

    bool operator==(const PlacementAnswer &) const = default;
};

/** Ranks the service's holders by rendezvous hashing on the caller's id and returns the first three.
 *
 * The hash doesn't include the service, so that a caller of two services with common holders is assigned the same
 * instance. The witness is another live instance, preferably of the home's data centre, because every non-idempotent
 * request waits for a round trip to it.
 */
PlacementAnswer placeCaller(PlacementTable &table, const contract::ServicePolicy &policy, std::string_view callerId);

} // namespace jackdawdoor::placement
