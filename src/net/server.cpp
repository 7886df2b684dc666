#include "net/server.h"

#include "base/stablehash.h"
#include "net/fleetauthentication.h"

namespace jackdawdoor::net {

namespace {

/** Start time in microseconds: increases with each start without stored state; see design.md. */
Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::string advertised(const std::string &chosen, const settings::Endpoint &bound)
{
    return chosen.empty() ? bound.text() : chosen;
}

std::uint64_t randomSeed()
{
    return stableHash(randomNonce());
}

} // namespace

Server::Server(settings::Settings settings)
    : m_settings(std::move(settings))
    , m_self{m_settings.instance, newIncarnation()}
    , m_callers([this] {
        return ++m_lastRequest;
    })
    , m_operators([this] {
        return ++m_lastRequest;
    })
    , m_peers({m_self, m_settings.fleetKey, {}},
              [this] {
                  return ++m_lastRequest;
              })
    , m_platform({m_settings.logServiceUrl, m_settings.instanceListUrl}, randomSeed())
{
}

Result<void> Server::start(const CoreFactory &makeCore)
{
    const auto callers = m_callers.listen(m_settings.callers);
    const auto operators = m_operators.listen(m_settings.operators);
    const auto peers = m_peers.listen(m_settings.peers);
    for (const auto *bound : {&callers, &operators, &peers}) {
        if (!bound->has_value()) {
            return bound->error();
        }
    }
    m_callersEndpoint = callers.value();
    m_operatorsEndpoint = operators.value();
    m_peersEndpoint = peers.value();
    CoreIdentity identity;
    identity.self = m_self;
    identity.dataCentre = m_settings.dataCentre;
    identity.callersAddress = advertised(m_settings.advertisedCallers, m_callersEndpoint);
    identity.peersAddress = advertised(m_settings.advertisedPeers, m_peersEndpoint);
    identity.seed = randomSeed();
    identity.authenticate = [key = m_settings.fleetKey](std::string_view text) {
        return hmacSha256(key, text);
    };
    m_driver =
        std::make_unique<CoreDriver>(DriverTasks{m_callers, m_operators, m_peers, m_upstreams, m_platform, m_metrics}, makeCore(identity));
    m_driver->signalStopped.connect([this] {
        m_stopped = true;
    });
    m_driver->start();
    m_platform.start();
    m_peers.start();
    m_callers.start();
    m_operators.start();
    return boost::outcome_v2::success();
}

void Server::beginStop()
{
    m_driver->beginStop();
}

bool Server::stopped() const
{
    return m_stopped;
}

const settings::Endpoint &Server::callers() const
{
    return m_callersEndpoint;
}

const settings::Endpoint &Server::operators() const
{
    return m_operatorsEndpoint;
}

const settings::Endpoint &Server::peers() const
{
    return m_peersEndpoint;
}

} // namespace jackdawdoor::net
