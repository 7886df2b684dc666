#include "proxy/gateway.h"

#include "net/httpmessage.h"
#include "placement/hostplacement.h"
#include "proxy/proxylog.h"
#include "telemetry/boundedlog.h"
#include "telemetry/log.h"

#include <event2/http.h>

#include <algorithm>

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds{100};
/** Added to the operators' floor share, since instances' views of which upstreams were used differ by one load report. */
constexpr double floorMargin = 0.03;
constexpr Duration prunePeriod = std::chrono::milliseconds{500};
/** Load reports go to an instance for this long after its own last report as a serving one. */
constexpr Duration servingLifetime = std::chrono::milliseconds{2500};
/** Spreads the registrations of all instances after the store was restored. */
constexpr Duration registrationSpread = std::chrono::seconds{3};
constexpr Duration registrationRetry = std::chrono::seconds{2};
/** The instance list is read once after registration, since later instances contact this one. Repeated reads find instances
 * that no membership message has reached. */
constexpr Duration instanceListPeriod = std::chrono::seconds{60};
/** Interval at which an instance that knows no other one contacts the seeds. */
constexpr Duration seedContactPeriod = std::chrono::seconds{1};

membership::Member selfMember(const ProxySettings &settings, Incarnation incarnation)
{
    return {{settings.instance, incarnation},
            settings.peers.text(),
            settings.dataCentre,
            membership::MemberState::Live,
            settings.callers.text()};
}

} // namespace

Gateway::Gateway(net::EventLoop &loop, ProxySettings settings, UpstreamProtocol protocol, Incarnation incarnation)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_context(loop, std::move(protocol), m_settings.instance, m_settings.dataCentre, incarnation)
    , m_proxy(m_context)
    , m_datagrams(loop,
                  [this](std::string_view bytes, const settings::Endpoint &) {
                      receive(bytes);
                  })
    , m_membership(selfMember(m_settings, incarnation), m_context.random)
    , m_placement(m_membership.view())
    , m_peerServer(
          loop,
          [this](const std::string &target) {
              return answerPeer(target);
          },
          m_context.memory)
    , m_metricsServer(loop,
                      [this](const std::string & /*target*/) {
                          return answerMetrics();
                      })
    , m_timer(loop,
              [this] {
                  tick();
              })
    , m_noticeTimer(loop, [this] {
        sendNotices(net::now());
    })
{
    m_context.retryLimits = m_settings.retryLimits;
    m_context.floorShare = m_settings.floorShare + floorMargin;
    applyLimits(m_settings);
    m_context.broadcast = [this](const fleet::FleetMessage &message) {
        broadcast(message);
    };
    m_context.sendToRandom = [this](const fleet::FleetMessage &message) {
        sendToRandom(message);
    };
    m_context.reportEvents = [this](const fleet::NoticeItem &item) {
        reportEvents(item);
    };
    m_context.quotas.setHooks({[this](const std::vector<InstanceId> &reporters, const fleet::FleetMessage &message) {
                                   sendToReporters(reporters, message);
                               },
                               [this](const fleet::FleetMessage &message) {
                                   broadcast(message);
                               },
                               [this] {
                                   return m_membership.view()->members.size();
                               }});
}

Gateway::~Gateway() = default;

void Gateway::applyLimits(const ProxySettings &settings)
{
    const limits::DescriptorShares shares = limits::descriptorSharesFor(settings.maximumDescriptors);
    m_context.memory->setLimits(limits::memoryLimitsFor(settings.memoryBytes));
    m_context.maximumCallers = shares.callers;
    m_context.pool.setMaximumIdle(shares.idleUpstreams);
    m_peerServer.setMaximumConnections(shares.calls);
    m_metricsServer.setMaximumConnections(shares.calls);
}

Result<bool> Gateway::start(StoreAccess access)
{
    m_access = std::move(access);
    StoreReplicaHooks hooks;
    hooks.onConfiguration = [this](const routing::RouteTablePointer &table) {
        m_context.routes = table;
        m_context.quotas.setOrganisations(table->organisations());
    };
    hooks.onUpstreams = [this] {
        const TimePoint now = net::now();
        m_context.crashes.onRemoved(now, m_context.upstreams.setEntries(now, m_storeReplica->catalogue().entries()));
    };
    hooks.onRestored = [this] {
        onStoreRestored();
    };
    hooks.onDelta = [this](const fleet::UpstreamDelta &delta) {
        shareDelta(delta);
    };
    m_storeReplica = std::make_unique<StoreReplica>(m_loop, m_access, m_settings.instance, m_settings.dataCentre, std::move(hooks));
    if (m_settings.fleetStarts) {
        m_storeReplica->beginFleetStart(net::now(), uniform(m_context.random));
    }
    const Result<settings::Endpoint> listening[] = {m_datagrams.bind(m_settings.peers),
                                                    m_peerServer.listen(m_settings.peers),
                                                    m_metricsServer.listen(m_settings.metrics),
                                                    m_proxy.listen(m_settings.callers)};
    for (const auto &endpoint : listening) {
        if (!endpoint.has_value()) {
            return endpoint.error();
        }
    }
    telemetry::writeLog(LogLevel::Info,
                        "start",
                        "serving",
                        {{"instance", m_settings.instance.value},
                         {"incarnation", std::to_string(m_membership.self().incarnation)},
                         {"data-centre", m_settings.dataCentre.value},
                         {"callers", m_settings.callers.text()},
                         {"store", m_settings.store.text()}});
    m_timer.set(Duration::zero());
    return true;
}

void Gateway::reload(const ProxySettings &settings)
{
    telemetry::writeLog(LogLevel::Info, "reload", settings == m_settings ? "unchanged" : "changed");
    applyLimits(settings);
    m_settings.memoryBytes = settings.memoryBytes;
    m_settings.maximumDescriptors = settings.maximumDescriptors;
    m_settings.retryLimits = settings.retryLimits;
    m_settings.stopGracePeriod = settings.stopGracePeriod;
    m_context.floorShare = settings.floorShare + floorMargin;
    m_settings.directoryTtl = settings.directoryTtl;
    m_settings.seeds = settings.seeds;
    m_settings.store = settings.store;
    if (m_context.retryLimits != settings.retryLimits) {
        m_context.retryLimits = settings.retryLimits;
        m_context.budgets.clear();
    }
}

bool Gateway::ready() const
{
    return m_storeReplica && m_storeReplica->ready() && !m_stop;
}

std::uint64_t Gateway::configurationVersion() const
{
    return m_context.routes ? m_context.routes->version() : 0;
}

std::vector<fleet::UpstreamEntry> Gateway::upstreams() const
{
    return m_storeReplica->catalogue().entries();
}

ProxyMetrics &Gateway::metrics()
{
    return m_context.metrics;
}

DirectoryAnswer Gateway::addressesFor(const std::string &host, const DataCentreId &dataCentre)
{
    m_placement.update(m_membership.view());
    const auto ranked = m_placement.rank(ServiceId{host}, m_membership.view()->members.size());
    DirectoryAnswer answer;
    answer.ttl = m_settings.directoryTtl;
    std::vector<std::string> others;
    for (const membership::Member *member : ranked) {
        const bool eligible = !member->callerAddress.empty() && !(member->ref.id == m_settings.instance && !ready());
        if (eligible) {
            (member->dataCentre == dataCentre ? answer.addresses : others).push_back(member->callerAddress);
        }
    }
    answer.addresses.resize(placement::instancesForHost(answer.addresses.size()));
    // A data centre with too few instances is filled up with instances of others.
    constexpr std::size_t minimumAddresses = 2;
    for (const std::string &address : others) {
        if (answer.addresses.size() >= minimumAddresses) {
            break;
        }
        answer.addresses.push_back(address);
    }
    return answer;
}

void Gateway::tick()
{
    const TimePoint now = net::now();
    supersedePreviousIncarnation();
    sendMembership(m_membership.onTick(now));
    contactSeeds(now);
    m_storeReplica->tick(now, *m_membership.view());
    m_proxy.tick(now);
    m_context.upstreams.expireReports(now);
    m_context.updateFailureShares(now);
    for (const fleet::AnnouncementEnd &end : m_context.upstreams.takeAnnouncementEnds(now)) {
        logAnnouncementEnd(end);
    }
    sendReports(now);
    sendNotices(now);
    m_context.crashes.tick(now, m_membership.view()->members.size());
    m_context.quotas.tick(now);
    registerSelf();
    readInstanceList();
    if (now >= m_nextPrune) {
        m_nextPrune = now + prunePeriod;
        logSendFailures();
        for (const membership::Member &member : m_membership.view()->members) {
            if (member.state == membership::MemberState::Leaving) {
                m_context.quotas.forget(member.ref.id);
            }
        }
        m_context.pool.prune(now, m_storeReplica->catalogue().entries());
        std::erase_if(m_servingInstances, [now](const auto &entry) {
            return now - entry.second > servingLifetime;
        });
    }
    telemetry::flushLog();
    if (m_stop) {
        advanceStop(now);
    }
    m_timer.set(tickPeriod);
}

void Gateway::supersedePreviousIncarnation()
{
    const Incarnation before = m_membership.self().incarnation;
    if (m_membership.adoptHigherIncarnation()) {
        telemetry::writeLog(LogLevel::Warning,
                            "join",
                            "a previous run of this instance has a higher incarnation (its clock was ahead); using a higher one",
                            {{"before", std::to_string(before)}, {"incarnation", std::to_string(m_membership.self().incarnation)}});
    }
}

void Gateway::contactSeeds(TimePoint now)
{
    if (now < m_nextSeedContact) {
        return;
    }
    m_nextSeedContact = now + seedContactPeriod;
    // Once one other instance is known, the membership protocol finds the rest.
    if (m_membership.view()->live().size() > 1) {
        return;
    }
    for (const settings::Endpoint &seed : m_settings.seeds) {
        if (seed != m_settings.peers) {
            m_datagrams.send(seed, fleet::encodeDatagram({m_membership.self(), m_membership.discoveryPing()}));
        }
    }
}

void Gateway::registerSelf()
{
    const TimePoint now = net::now();
    if (m_registered || now < m_nextRegistration) {
        return;
    }
    m_nextRegistration = now + registrationRetry;
    m_access.registerInstance({m_settings.instance, m_settings.peers.text(), m_settings.dataCentre, false},
                              [this, restorations = m_restorations](const Result<bool> &done) {
                                  m_registered = m_registered || (done.has_value() && restorations == m_restorations);
                                  if (!done.has_value()) {
                                      telemetry::writeLog(LogLevel::Warning, "register instance", done.error().message());
                                  }
                              });
}

void Gateway::onStoreRestored()
{
    m_context.metrics.countStoreRestoration();
    ++m_restorations;
    m_registered = false;
    // All instances learn of it at about the same time.
    m_nextRegistration = net::now() + fromSeconds(toSeconds(registrationSpread) * uniform(m_context.random));
}

void Gateway::readInstanceList()
{
    const TimePoint now = net::now();
    if (!m_registered || now < m_nextInstanceList) {
        return;
    }
    m_nextInstanceList = now + instanceListPeriod;
    m_access.listInstances([this](const Result<membership::InstanceList> &list) {
        if (!list.has_value()) {
            telemetry::writeLog(LogLevel::Warning, "list instances", list.error().message());
            m_nextInstanceList = net::now() + registrationRetry;
            return;
        }
        sendMembership(m_membership.onInstanceList(net::now(), list.value()));
    });
}

CallAnswer Gateway::answerPeer(const std::string &target)
{
    const auto version = net::parseNumber(net::queryParameter(target, "configuration"));
    const auto catalogue = net::parseNumber(net::queryParameter(target, "catalogue"));
    if (!version || !catalogue) {
        return {HTTP_BADREQUEST, {}, "expected configuration and catalogue\n"};
    }
    return {HTTP_OK, {}, m_storeReplica->exportState(*version, *catalogue, net::now())};
}

CallAnswer Gateway::answerMetrics()
{
    m_context.metrics.setDroppedLines(telemetry::droppedLines());
    m_context.metrics.setMemory(*m_context.memory);
    m_context.metrics.setCallers(m_proxy.connections(), m_context.maximumCallers);
    return {HTTP_OK, {{"Content-Type", "text/plain"}}, m_context.metrics.text()};
}

} // namespace jackdawdoor::proxy
