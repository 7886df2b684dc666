/** The answer to a caller that asks which instances to use. */
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

/** Addresses in an answer at most. */
constexpr std::size_t maximumAddresses = 3;

/** Where a caller should connect, and which pair of instances guards its idempotency keys. */
struct PlacementAnswer {
    std::vector<std::string> addresses; ///< "ip:port" for callers, in the order of preference; empty when no instance can serve
    Duration timeToLive{}; ///< how long the caller may keep the answer
    std::optional<InstanceRef> home; ///< the instance of the first address
    std::optional<InstanceRef> witness; ///< never the home; none when no other instance is live

    bool operator==(const PlacementAnswer &) const = default;
};

/** Orders the service's holders by the rendezvous hash of the caller and names the first three.
 *
 * The hash doesn't include the service, so that a caller of two services with common holders meets the same instance.
 * The witness is a live instance of the home's data centre if there is another, else any: a witness nearby costs each
 * non-idempotent request the shortest round trip.
 */
PlacementAnswer placeCaller(PlacementTable &table, const contract::ServicePolicy &policy, std::string_view callerId);

} // namespace jackdawdoor::placement
