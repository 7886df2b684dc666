/** The platform's list of instances and leaving upstreams. It may be out of date. */
#pragma once

#include "membership/instancelist.h"

#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Instances of the fleet, and addresses of upstreams that the platform is about to stop. */
struct PlatformList {
    membership::InstanceList fleet;
    std::vector<std::string> leavingUpstreams; ///< "ip:port"

    bool operator==(const PlatformList &) const = default;
};

} // namespace jackdawdoor::core
