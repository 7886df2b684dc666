/** Settings of one proxy process. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "proxy/requestcontext.h"
#include "settings/settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Values of a settings file. */
struct ProxySettings {
    InstanceId instance;
    DataCentreId dataCentre;
    settings::Endpoint callers; ///< listens for requests
    settings::Endpoint readiness; ///< listens for the platform's readiness checks
    settings::Endpoint directory; ///< listens for resolve calls of callers
    settings::Endpoint peers; ///< UDP and TCP between instances
    settings::Endpoint metrics;
    settings::Endpoint store;
    std::vector<settings::Endpoint> seeds; ///< addresses of some other instances; may be stale
    limits::FleetRetryLimits retryLimits;
    double floorShare = 0.7; ///< share of a service's healthy upstreams that must get requests
    Duration stopGracePeriod = std::chrono::seconds{6}; ///< from the stop signal until the process is killed
    bool fleetStarts = false; ///< all instances start for the first time, at about the same time
    std::size_t memoryBytes = 0; ///< of the machine; zero if not stated
    std::size_t maximumDescriptors = 0; ///< of the process; zero if not stated
    Duration directoryTtl = std::chrono::seconds{5}; ///< longest time for which a caller may cache a directory answer

    bool operator==(const ProxySettings &) const = default;
};

} // namespace jackdawdoor::proxy
