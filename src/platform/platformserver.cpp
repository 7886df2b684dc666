#include "platform/platformserver.h"

#include "net/httpmessage.h"
#include "platform/names.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace jackdawdoor::platform {

namespace {

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

PlatformServer::PlatformServer(net::EventLoop &loop, proxy::Gateway &gateway)
    : m_gateway(gateway)
    , m_directory(loop,
                  [this](const std::string &target) {
                      return answerResolve(target);
                  })
    , m_readiness(loop, [this](const std::string &target) {
        return answerReadiness(target);
    })
{
}

Result<bool> PlatformServer::listen(const proxy::ProxySettings &settings)
{
    const limits::DescriptorShares shares = limits::descriptorSharesFor(settings.maximumDescriptors);
    m_directory.setMaximumConnections(shares.directory);
    m_readiness.setMaximumConnections(shares.calls);
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

void PlatformServer::closeIdle()
{
    m_directory.closeIdle();
    m_readiness.closeIdle();
}

std::size_t PlatformServer::undeliveredAnswers(TimePoint now) const
{
    return m_directory.undeliveredAnswers(now) + m_readiness.undeliveredAnswers(now);
}

proxy::CallAnswer PlatformServer::answerResolve(const std::string &target)
{
    if (pathOf(target) != names::resolveCall) {
        return {HTTP_NOTFOUND};
    }
    const proxy::DirectoryAnswer answer =
        m_gateway.addressesFor(net::queryParameter(target, "name"), DataCentreId{net::queryParameter(target, "zone")});
    const nlohmann::json body{{"addresses", answer.addresses}, {"ttl-s", toSeconds(answer.ttl)}};
    return {HTTP_OK, {{"Content-Type", "application/json"}}, body.dump()};
}

proxy::CallAnswer PlatformServer::answerReadiness(const std::string &target) const
{
    const bool ready = pathOf(target) == names::readinessCall && m_gateway.ready();
    return {ready ? HTTP_OK : HTTP_SERVUNAVAIL};
}

} // namespace jackdawdoor::platform
