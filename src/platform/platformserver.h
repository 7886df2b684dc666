/** HTTP servers for the platform's resolve and readiness calls. */
#pragma once

#include "proxy/gateway.h"
#include "proxy/instanceserver.h"

namespace jackdawdoor::platform {

/** Answers resolve and readiness calls. Used on one loop; the gateway must outlive it. */
class PlatformServer
{
public:
    PlatformServer(net::EventLoop &loop, proxy::Gateway &gateway);

    Result<bool> listen(const proxy::ProxySettings &settings);

    /** Stops accepting connections and closes the idle ones. */
    void closeIdle();

    /** Number of connections whose answers have not been delivered. */
    std::size_t undeliveredAnswers(TimePoint now) const;

private:
    proxy::CallAnswer answerResolve(const std::string &target);
    proxy::CallAnswer answerReadiness(const std::string &target) const;

    proxy::Gateway &m_gateway;
    proxy::InstanceServer m_directory;
    proxy::InstanceServer m_readiness;
};

} // namespace jackdawdoor::platform
