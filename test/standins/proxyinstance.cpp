#include "standins/proxyinstance.h"

#include "platform/names.h"
#include "platform/upstreamheaders.h"

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <future>
#include <mutex>
#include <set>

namespace jackdawdoor::standins {

namespace {

constexpr Duration defaultTimeout = std::chrono::seconds{5};
constexpr Duration pollPeriod = std::chrono::milliseconds{10};

bool waitUntil(const std::function<bool()> &condition, Duration time = defaultTimeout)
{
    const TimePoint end = net::now() + time;
    while (!condition()) {
        if (net::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

nlohmann::json rule(const char *name, const char *kind, const char *prefix, int timeoutMilliseconds)
{
    return {{"name", name},
            {"route-type", kind},
            {"slo-latency-ms", 1000},
            {"match", {{"path-prefix", prefix}}},
            {"action", {{"service", "svc"}, {"timeout-ms", timeoutMilliseconds}, {"max-attempts", 3}}}};
}

} // namespace

namespace {

int unusedPort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(bind(probe, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
    socklen_t length = sizeof(address);
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &length);
    close(probe);
    return ntohs(address.sin_port);
}

} // namespace

int freePort()
{
    // The system may name a port again before it is used, for another purpose of the same instance.
    static std::mutex mutex;
    static std::set<int> given;
    const std::lock_guard lock(mutex);
    int port = unusedPort();
    while (!given.insert(port).second) {
        port = unusedPort();
    }
    return port;
}

ProxyInstance::ProxyInstance(PlatformStore &store, const ProxyInstanceOptions &options)
{
    const std::string host = "127.0.0.1";
    m_settings.instance = InstanceId{options.name};
    m_settings.seeds = options.seeds;
    m_settings.fleetStarts = options.fleetStarts;
    m_settings.dataCentre = DataCentreId{"dc-1"};
    m_settings.callers = {host, freePort()};
    m_settings.readiness = {host, freePort()};
    m_settings.directory = {host, freePort()};
    m_settings.peers = {host, freePort()};
    m_settings.metrics = {host, freePort()};
    m_settings.store = {"127.0.0.1", store.server().port()};
    m_loop.start();
    m_loop.call([this, &options] {
        m_client = std::make_unique<platform::StoreClient>(m_loop, m_settings.store);
        const auto clock = static_cast<Incarnation>(net::now().time_since_epoch().count());
        const Incarnation incarnation = options.incarnation == 0 ? clock : options.incarnation;
        m_gateway = std::make_unique<proxy::Gateway>(m_loop, m_settings, platform::upstreamProtocol(), incarnation);
        m_server = std::make_unique<platform::PlatformServer>(m_loop, *m_gateway);
        const auto listening = m_server->listen(m_settings);
        const auto started = m_gateway->start(m_client->access([](const char *, bool) {}));
        if (!listening.has_value() || !started.has_value()) {
            std::fputs("the instance cannot listen\n", stderr);
            std::abort();
        }
    });
}

ProxyInstance::~ProxyInstance()
{
    m_loop.call([this] {
        m_server.reset();
        m_client.reset();
        m_gateway.reset();
    });
    m_loop.stop();
}

int ProxyInstance::callersPort() const
{
    return m_settings.callers.port;
}

int ProxyInstance::directoryPort() const
{
    return m_settings.directory.port;
}

int ProxyInstance::readinessPort() const
{
    return m_settings.readiness.port;
}

bool ProxyInstance::waitForVersion(std::uint64_t version)
{
    return waitUntil([&] {
        bool reached = false;
        call([&](proxy::Gateway &gateway) {
            reached = gateway.configurationVersion() >= version;
        });
        return reached;
    });
}

settings::Endpoint ProxyInstance::peers() const
{
    return m_settings.peers;
}

bool ProxyInstance::waitForInstances(std::size_t count, Duration time)
{
    return waitUntil(
        [&] {
            std::size_t named = 0;
            call([&](proxy::Gateway &gateway) {
                named = gateway.addressesFor("h.example", m_settings.dataCentre).addresses.size();
            });
            return named == count;
        },
        time);
}

bool ProxyInstance::waitForUpstreams(std::size_t count)
{
    return waitUntil([&] {
        bool reached = false;
        call([&](proxy::Gateway &gateway) {
            reached = gateway.upstreams().size() == count;
        });
        return reached;
    });
}

void ProxyInstance::beginStop()
{
    m_loop.call([this] {
        m_gateway->beginStop({[this] {
                                  m_server->closeIdle();
                              },
                              [this](TimePoint now) {
                                  return m_server->undeliveredAnswers(now);
                              },
                              [this] {
                                  m_stopped = true;
                              }});
    });
}

bool ProxyInstance::stopped() const
{
    return m_stopped.load();
}

void ProxyInstance::call(const std::function<void(proxy::Gateway &)> &action)
{
    m_loop.call([&] {
        action(*m_gateway);
    });
}

void putConfiguration(PlatformStore &store, std::uint64_t version)
{
    char text[16];
    std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version));
    const nlohmann::json document{
        {"version", text},
        {"listeners",
         {{{"host", "h.example"},
           {"rules", {rule("r1", "safe", "/safe/", 3000), rule("r2", "unsafe", "/once/", 3000), rule("r3", "safe", "/slow/", 300)}}}}},
        {"clusters", {{{"name", "svc"}, {"health-path", "/health"}, {"max-conns", 100}}}}};
    store.put(platform::names::operatorTopic, platform::names::configurationKey, document.dump());
}

void putUpstream(PlatformStore &store,
                 const std::string &id,
                 const std::string &address,
                 int sequence,
                 const std::string &state,
                 std::int64_t born)
{
    const nlohmann::json document{{"address", address},
                                  {"born", born},
                                  {"info", {{"service", "svc"}, {"version", "v1"}, {"zone", "dc-1"}, {"slots", 6}}},
                                  {"status", {{"state", state}, {"seq-no", sequence}, {"warmup-left-ms", 0}}}};
    store.put(platform::names::upstreamTopic, id, document.dump());
}

std::string
callerRequest(const std::string &method, const std::string &path, const std::string &id, const std::string &body, int deadlineMilliseconds)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Jackdawdoor-Request-Id: " + id + "\r\nX-Jackdawdoor-Deadline-Ms: "
           + std::to_string(deadlineMilliseconds) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace jackdawdoor::standins
