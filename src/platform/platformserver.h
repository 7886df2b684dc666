/** HTTP servers for the platform's resolve and readiness calls. */
#pragma once

#include "net/httpserver.h"
#include "proxy/gateway.h"

namespace jackdawdoor::platform {

/** Answers resolve and readiness calls. Used on one loop; the gateway must outlive it. */
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
