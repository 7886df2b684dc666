/** All tasks of one instance, joined with a decision core. */
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

/** What a decision core must know of its process. */
struct CoreIdentity {
    InstanceRef self;
    DataCentreId dataCentre;
    std::string callersAddress; ///< given to callers
    std::string peersAddress; ///< given to other instances
    std::uint64_t seed = 0; ///< of the core's random source
    std::function<std::string(std::string_view text)> authenticate; ///< HMAC-SHA256 with the fleet key, for tickets
};

/** Makes the core when the addresses are known. */
using CoreFactory = std::function<std::unique_ptr<DecisionCore>(const CoreIdentity &)>;

/** One running instance. */
class Server
{
public:
    explicit Server(settings::Settings settings);

    /** Binds the listeners, makes the core and starts all tasks. */
    Result<void> start(const CoreFactory &makeCore);

    /** Leaves placement; requests in progress are finished. */
    void beginStop();

    /** The planned stop is complete. */
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
    std::unique_ptr<CoreDriver> m_driver; // last, so that it goes before the tasks
};

} // namespace jackdawdoor::net
