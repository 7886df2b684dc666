/** One upstream of a service, as the contract lists it. */
#pragma once

#include "base/ids.h"

#include <string>

namespace jackdawdoor::contract {

/** An upstream with the capacity that the fleet may use. */
struct Upstream {
    std::string name; ///< unique within the service
    std::string address; ///< "ip:port", IPv4; unique within the contract
    DataCentreId dataCentre;
    int slots = 0; ///< concurrent requests that the upstream can run
    int connections = 0; ///< open connections that it accepts from the whole fleet

    bool operator==(const Upstream &) const = default;
};

} // namespace jackdawdoor::contract
