#include "platform/platformserver.h"

#include "net/httpmessage.h"
#include "platform/names.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace jackdawdoor::platform {

namespace {

std::string pathOf(evhttp_request *request)
{
    const std::string target = evhttp_request_get_uri(request);
    return target.substr(0, target.find('?'));
}

} // namespace

PlatformServer::PlatformServer(net::EventLoop &loop, proxy::Gateway &gateway)
    : m_loop(loop)
    , m_gateway(gateway)
    , m_directory(loop,
                  {},
                  [this](evhttp_request *request) {
                      answerResolve(request);
                  })
    , m_readiness(loop, {}, [this](evhttp_request *request) {
        answerReadiness(request);
    })
{
}

Result<bool> PlatformServer::listen(const proxy::ProxySettings &settings)
{
    const auto directory = m_directory.listen(settings.directory);
    if (!directory.has_value()) {
        return directory.error();
    }
    const auto readiness = m_readiness.listen(settings.readiness);
    if (!readiness.has_value()) {
        return readiness.error();
    }
    return true;
}

void PlatformServer::answerResolve(evhttp_request *request)
{
    const std::string target = evhttp_request_get_uri(request);
    net::ServerExchange exchange(m_loop, request, m_directory.limits(), {});
    if (pathOf(request) != names::resolveCall) {
        exchange.reply(HTTP_NOTFOUND, {}, "");
        return;
    }
    const proxy::DirectoryAnswer answer =
        m_gateway.addressesFor(net::queryParameter(target, "name"), DataCentreId{net::queryParameter(target, "zone")});
    const nlohmann::json body{{"addresses", answer.addresses}, {"ttl-s", toSeconds(answer.ttl)}};
    exchange.reply(HTTP_OK, {{"Content-Type", "application/json"}}, body.dump());
}

void PlatformServer::answerReadiness(evhttp_request *request)
{
    const bool ready = pathOf(request) == names::readinessCall && m_gateway.ready();
    net::ServerExchange exchange(m_loop, request, m_readiness.limits(), {});
    exchange.reply(ready ? HTTP_OK : HTTP_SERVUNAVAIL, {}, "");
}

} // namespace jackdawdoor::platform
