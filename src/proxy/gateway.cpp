#include "proxy/gateway.h"

#include "net/httpmessage.h"
#include "placement/hostplacement.h"
#include "telemetry/boundedlog.h"
#include "telemetry/log.h"

#include <event2/http.h>

#include <algorithm>

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds{100};
/** Above the operators' floor, since two instances' knowledge of what was used differs by a report. */
constexpr double floorMargin = 0.03;
constexpr Duration prunePeriod = std::chrono::milliseconds{500};
/** An instance shares the load for this long after its last report. */
constexpr Duration sharingLifetime = std::chrono::milliseconds{2500};
constexpr Duration registrationRetry = std::chrono::seconds{2};
/** The list of instances is read at the start: those that register later greet this one. Later readings find instances
 * that no greeting has reached. */
constexpr Duration listingPeriod = std::chrono::seconds{60};
/** Time between greetings of the seeds by an instance that knows no other. */
constexpr Duration greetingPeriod = std::chrono::seconds{1};
/** Time in which callers learn that this instance leaves; it serves until then. */
constexpr Duration stopAdmission = std::chrono::milliseconds{2600};
/** Left of the stop time when the last requests get their final answer. */
constexpr Duration stopReserve = std::chrono::milliseconds{450};
/** Left of it when the process ends although answers could not be delivered; more than a tick. */
constexpr Duration exitReserve = std::chrono::milliseconds{150};

membership::Member selfMember(const ProxySettings &settings, Incarnation incarnation)
{
    return {{settings.instance, incarnation},
            settings.peers.text(),
            settings.dataCentre,
            membership::MemberState::Live,
            settings.callers.text()};
}

} // namespace

Gateway::Gateway(net::EventLoop &loop, ProxySettings settings, HeaderNames names, Incarnation incarnation)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_context(loop, std::move(names), m_settings.instance, m_settings.dataCentre, incarnation)
    , m_proxy(m_context)
    , m_datagrams(loop,
                  [this](std::string_view bytes, const settings::Endpoint &) {
                      receive(bytes);
                  })
    , m_membership(selfMember(m_settings, incarnation), m_context.random)
    , m_placement(m_membership.view())
    , m_timer(loop, [this] {
        tick();
    })
{
    m_context.retryLimits = m_settings.retryLimits;
    m_context.floorShare = m_settings.floorShare + floorMargin;
    m_context.broadcast = [this](const fleet::FleetMessage &message) {
        broadcast(message);
    };
}

Gateway::~Gateway() = default;

Result<bool> Gateway::start(StoreAccess access)
{
    m_access = std::move(access);
    StoreFeedHooks hooks;
    hooks.onConfiguration = [this](const routing::RouteTablePointer &table) {
        m_context.routes = table;
    };
    hooks.onUpstreams = [this] {
        m_context.board.setEntries(net::now(), m_feed->catalogue().entries());
    };
    hooks.onDelta = [this](const fleet::UpstreamDelta &delta) {
        shareDelta(delta);
    };
    m_feed = std::make_unique<StoreFeed>(m_loop, m_access, m_settings.instance, m_settings.dataCentre, std::move(hooks));
    m_peerServer = std::make_unique<net::HttpServer>(m_loop, net::ServerLimits{}, [this](evhttp_request *request) {
        answerPeer(request);
    });
    m_metricsServer = std::make_unique<net::HttpServer>(m_loop, net::ServerLimits{}, [this](evhttp_request *request) {
        answerMetrics(request);
    });
    const Result<settings::Endpoint> listening[] = {m_datagrams.bind(m_settings.peers),
                                                    m_peerServer->listen(m_settings.peers),
                                                    m_metricsServer->listen(m_settings.metrics),
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
    m_settings.retryLimits = settings.retryLimits;
    m_settings.stopTime = settings.stopTime;
    m_context.floorShare = settings.floorShare + floorMargin;
    m_settings.directoryHold = settings.directoryHold;
    m_settings.seeds = settings.seeds;
    m_settings.store = settings.store;
    if (m_context.retryLimits != settings.retryLimits) {
        m_context.retryLimits = settings.retryLimits;
        m_context.budgets.clear();
    }
}

bool Gateway::ready() const
{
    return m_feed && m_feed->ready() && m_onStopped == nullptr;
}

std::uint64_t Gateway::configurationVersion() const
{
    return m_context.routes ? m_context.routes->version() : 0;
}

std::vector<fleet::UpstreamEntry> Gateway::upstreams() const
{
    return m_feed->catalogue().entries();
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
    answer.hold = m_settings.directoryHold;
    std::vector<std::string> others;
    for (const membership::Member *member : ranked) {
        const bool placed = !member->callerAddress.empty() && !(member->ref.id == m_settings.instance && !ready());
        if (placed) {
            (member->dataCentre == dataCentre ? answer.addresses : others).push_back(member->callerAddress);
        }
    }
    answer.addresses.resize(placement::instancesForHost(answer.addresses.size()));
    // Callers of a data centre without enough instances go to others.
    constexpr std::size_t fewest = 2;
    for (const std::string &address : others) {
        if (answer.addresses.size() >= fewest) {
            break;
        }
        answer.addresses.push_back(address);
    }
    return answer;
}

void Gateway::tick()
{
    const TimePoint now = net::now();
    outrankFormerRun();
    sendMembership(m_membership.onTick(now));
    greetSeeds(now);
    m_feed->tick(now, *m_membership.view());
    m_proxy.tick(now);
    m_context.board.expireReports(now);
    sendReports(now);
    registerSelf();
    listPeers();
    if (now >= m_nextPrune) {
        m_nextPrune = now + prunePeriod;
        reportUnsent();
        m_context.pool.prune(now, m_feed->catalogue().entries());
        m_context.crashes.expire(now);
        std::erase_if(m_sharing, [now](const auto &entry) {
            return now - entry.second > sharingLifetime;
        });
    }
    telemetry::flushLog();
    if (m_onStopped != nullptr) {
        stopStep(now);
    }
    m_timer.set(tickPeriod);
}

void Gateway::outrankFormerRun()
{
    const Incarnation before = m_membership.self().incarnation;
    if (m_membership.adoptHigherIncarnation()) {
        telemetry::writeLog(LogLevel::Warning,
                            "join",
                            "a former run of this instance had a later clock; this one takes a later incarnation",
                            {{"before", std::to_string(before)}, {"incarnation", std::to_string(m_membership.self().incarnation)}});
    }
}

void Gateway::greetSeeds(TimePoint now)
{
    // Once one other instance is known, the failure detector finds the rest.
    if (now < m_nextGreeting || m_membership.view()->live().size() > 1) {
        return;
    }
    m_nextGreeting = now + greetingPeriod;
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
                              [this](const Result<bool> &done) {
                                  m_registered = m_registered || done.has_value();
                                  if (!done.has_value()) {
                                      telemetry::writeLog(LogLevel::Warning, "register instance", done.error().message());
                                  }
                              });
}

void Gateway::listPeers()
{
    const TimePoint now = net::now();
    if (!m_registered || now < m_nextListing) {
        return;
    }
    m_nextListing = now + listingPeriod;
    m_access.listInstances([this](const Result<membership::InstanceList> &list) {
        if (!list.has_value()) {
            telemetry::writeLog(LogLevel::Warning, "list instances", list.error().message());
            m_nextListing = net::now() + registrationRetry;
            return;
        }
        sendMembership(m_membership.onInstanceList(net::now(), list.value()));
    });
}

void Gateway::answerPeer(evhttp_request *request)
{
    const std::string target = evhttp_request_get_uri(request);
    const auto version = net::parseNumber(net::queryParameter(target, "configuration"));
    const auto catalogue = net::parseNumber(net::queryParameter(target, "catalogue"));
    net::ServerExchange exchange(m_loop, request, m_peerServer->limits(), {});
    if (!version || !catalogue) {
        exchange.reply(HTTP_BADREQUEST, {}, "expected configuration and catalogue\n");
        return;
    }
    exchange.reply(HTTP_OK, {}, m_feed->exportState(*version, *catalogue, net::now()));
}

void Gateway::answerMetrics(evhttp_request *request)
{
    m_context.metrics.setDroppedLines(telemetry::droppedLines());
    net::ServerExchange exchange(m_loop, request, m_metricsServer->limits(), {});
    exchange.reply(HTTP_OK, {{"Content-Type", "text/plain"}}, m_context.metrics.text());
}

void Gateway::beginStop(std::function<void()> onStopped)
{
    if (m_onStopped != nullptr) {
        return;
    }
    m_onStopped = std::move(onStopped);
    m_stopBegan = net::now();
    telemetry::writeLog(LogLevel::Info, "stop", "leaving", {{"requests", std::to_string(m_proxy.requests())}});
    sendMembership(m_membership.beginLeave(m_stopBegan));
    m_proxy.beginStop();
}

void Gateway::stopStep(TimePoint now)
{
    const Duration since = now - m_stopBegan;
    if (since >= stopAdmission) {
        m_context.stopping = true;
        m_proxy.closeIdle();
    }
    if (since >= m_settings.stopTime - stopReserve) {
        m_proxy.endRequests();
    }
    const bool finished = m_proxy.requests() == 0 && m_proxy.unsentAnswers() == 0;
    if (m_context.stopping && (finished || since >= m_settings.stopTime - exitReserve)) {
        telemetry::writeLog(finished ? LogLevel::Info : LogLevel::Warning,
                            "stop",
                            finished ? "every request has ended" : "the stop time is over",
                            {{"undelivered", std::to_string(m_proxy.unsentAnswers())}});
        telemetry::flushLog();
        m_onStopped();
    }
}

} // namespace jackdawdoor::proxy
