/** One service of a customer, as the contract describes it. */
#pragma once

#include "contract/healthyfloor.h"
#include "contract/operation.h"
#include "contract/upstream.h"

#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** A service. Use ServiceBuilder to make one in code. */
struct Service {
    std::string name; ///< unique within the contract
    double peakRequestsPerSecond = 0; ///< original requests, without retries
    HealthyFloor healthyFloor;
    std::vector<Upstream> upstreams;
    std::vector<Operation> operations;

    bool operator==(const Service &) const = default;
};

} // namespace jackdawdoor::contract
