/** The platform's list of instances, which lags behind reality. */
#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace jackdawdoor::membership {

/** One instance on the list. The list doesn't know incarnations. */
struct ListedInstance {
    InstanceId id;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    bool leaving = false; ///< the platform is about to stop it

    bool operator==(const ListedInstance &) const = default;
};

/** One answer of the platform. An empty list is taken for a fault of the platform and ignored. */
struct InstanceList {
    std::vector<ListedInstance> instances;

    bool operator==(const InstanceList &) const = default;
};

} // namespace jackdawdoor::membership
