/** Answers the platform's calls to an instance: where to connect, and whether it is ready. */
#pragma once

#include "net/httpserver.h"
#include "proxy/gateway.h"

namespace jackdawdoor::platform {

/** Listens for these calls. Used on one loop; the gateway outlives it. */
class PlatformServer
{
public:
    PlatformServer(net::EventLoop &loop, proxy::Gateway &gateway);

    Result<bool> listen(const proxy::ProxySettings &settings);

private:
    void answerResolve(evhttp_request *request);
    void answerReadiness(evhttp_request *request);

    net::EventLoop &m_loop;
    proxy::Gateway &m_gateway;
    net::HttpServer m_directory;
    net::HttpServer m_readiness;
};

} // namespace jackdawdoor::platform
