/** The platform's list of instances. It may be out of date. */
#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace jackdawdoor::membership {

/** One listed instance. The list has no incarnations. */
struct ListedInstance {
    InstanceId id;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    bool leaving = false; ///< the platform is about to stop it

    bool operator==(const ListedInstance &) const = default;
};

/** One answer of the platform. An empty list is treated as a platform fault and ignored. */
struct InstanceList {
    std::vector<ListedInstance> instances;

    bool operator==(const InstanceList &) const = default;
};

} // namespace jackdawdoor::membership
