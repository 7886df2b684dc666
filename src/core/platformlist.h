/** The platform's lagging list, as the core uses it. */
#pragma once

#include "membership/instancelist.h"

#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Entry instances of the fleet, and addresses of upstreams that are leaving. */
struct PlatformList {
    membership::InstanceList fleet;
    std::vector<std::string> leavingUpstreams; ///< "ip:port"

    bool operator==(const PlatformList &) const = default;
};

} // namespace jackdawdoor::core
