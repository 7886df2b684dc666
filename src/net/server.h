/** One instance: all its tasks, connected to a decision core. */
#pragma once

#include "base/error.h"
#include "net/coredriver.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdawdoor::net {

/** Identity and addresses of the process, for its decision core. */
struct CoreIdentity {
    InstanceRef self;
    DataCentreId dataCentre;
    std::string callersAddress; ///< given to callers
    std::string peersAddress; ///< given to other instances
    std::uint64_t seed = 0; ///< of the core's random number generator
    std::function<std::string(std::string_view text)> authenticate; ///< HMAC-SHA256 with the fleet key, for tickets
};

/** Creates the core once the addresses are known. */
using CoreFactory = std::function<std::unique_ptr<DecisionCore>(const CoreIdentity &)>;

/** One running instance. */
class Server
{
public:
    explicit Server(settings::Settings settings);

    /** Binds the listeners, creates the core and starts all tasks. */
    Result<void> start(const CoreFactory &makeCore);

    /** Begins a graceful shutdown: the instance leaves placement and finishes requests in progress. */
    void beginStop();

    /** True when the graceful shutdown is complete. */
    bool stopped() const;

    const settings::Endpoint &callers() const;
    const settings::Endpoint &operators() const;
    const settings::Endpoint &peers() const;

private:
    settings::Settings m_settings;
    InstanceRef m_self;
    std::atomic<core::RequestId> m_lastRequest = 0;
    std::atomic<bool> m_stopped = false;
    telemetry::Metrics m_metrics;
    UpstreamTask m_upstreams;
    HttpFrontEnd m_callers;
    HttpFrontEnd m_operators;
    PeerTask m_peers;
    PlatformTask m_platform;
    settings::Endpoint m_callersEndpoint;
    settings::Endpoint m_operatorsEndpoint;
    settings::Endpoint m_peersEndpoint;
    std::unique_ptr<CoreDriver> m_driver; // last, so that it is destroyed before the tasks
};

} // namespace jackdawdoor::net
