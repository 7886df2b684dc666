/** Settings of one proxy process. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "proxy/requestcontext.h"
#include "settings/settings.h"

#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Values of one settings file. */
struct ProxySettings {
    InstanceId instance;
    DataCentreId dataCentre;
    settings::Endpoint callers; ///< requests
    settings::Endpoint readiness; ///< the platform's checks
    settings::Endpoint directory; ///< callers ask there where to connect
    settings::Endpoint peers; ///< UDP and TCP between instances
    settings::Endpoint metrics;
    settings::Endpoint store;
    std::vector<settings::Endpoint> seeds; ///< peer addresses of some instances; may be stale
    limits::FleetRetryLimits retryLimits;
    double floorShare = 0.7; ///< of a service's sound upstreams, that must get requests
    Duration stopGracePeriod = std::chrono::seconds{6}; ///< from the stop signal until the process is killed
    Duration directoryTtl = std::chrono::seconds{5}; ///< longest time for which a caller may keep an answer

    bool operator==(const ProxySettings &) const = default;
};

} // namespace jackdawdoor::proxy
