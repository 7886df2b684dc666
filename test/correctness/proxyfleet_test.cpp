/** Several proxy instances: discovery, distribution of the store's contents, and exchange of health reports. */
#include "platform/upstreamheaders.h"
#include "proxy/proxyserver.h"
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <mutex>
#include <optional>
#include <thread>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;
using standins::StoreFault;

namespace {

/** Within this time the instances of a data centre must have found each other. */
constexpr Duration discoveryTimeout = std::chrono::seconds{5};

/** ProxyServer alone; its messages to other instances are recorded. */
class ServerFixture
{
public:
    ServerFixture()
    {
        m_loop.start();
        m_loop.call([this] {
            m_context =
                std::make_unique<proxy::RequestContext>(m_loop, platform::upstreamProtocol(), InstanceId{"i"}, DataCentreId{"dc-1"}, 1);
            m_context->broadcast = [this](const fleet::FleetMessage &message) {
                const std::lock_guard lock(m_mutex);
                m_messages.push_back(message);
            };
            m_context->sendToRandom = [](const fleet::FleetMessage &) {};
            m_context->reportEvents = [this](const fleet::NoticeItem &item) {
                const std::lock_guard lock(m_mutex);
                m_messages.emplace_back(fleet::UpstreamNotice{{item}});
            };
            routing::Route route;
            route.host = "h.example";
            route.pathPrefix = "/once/";
            route.services = {{ServiceId{"svc"}, 1}};
            route.timeout = std::chrono::seconds{3};
            route.maxAttempts = 3;
            m_context->routes = std::make_shared<const routing::RouteTable>(
                1, std::vector{route}, std::vector<routing::ServiceLimits>{}, routing::CallerLimits{});
            m_server = std::make_unique<proxy::ProxyServer>(*m_context);
            m_port = m_server->listen({"127.0.0.1", 0}).value().port;
        });
    }

    ~ServerFixture()
    {
        m_loop.call([this] {
            m_server.reset();
            m_context.reset();
        });
        m_loop.stop();
    }

    ServerFixture(const ServerFixture &) = delete;
    ServerFixture &operator=(const ServerFixture &) = delete;

    void setUpstreams(const std::vector<std::string> &addresses)
    {
        std::vector<fleet::UpstreamEntry> entries;
        for (const std::string &address : addresses) {
            fleet::UpstreamEntry entry;
            entry.id = UpstreamId{"u" + std::to_string(entries.size() + 1)};
            entry.service = ServiceId{"svc"};
            entry.address = address;
            entry.dataCentre = DataCentreId{"dc-1"};
            entry.slots = 6;
            entries.push_back(entry);
        }
        call([&](proxy::RequestContext &context, proxy::ProxyServer &) {
            context.upstreams.setEntries(net::now(), entries);
        });
    }

    void call(const std::function<void(proxy::RequestContext &, proxy::ProxyServer &)> &action)
    {
        m_loop.call([&] {
            action(*m_context, *m_server);
        });
    }

    int port() const
    {
        return m_port;
    }

    template <typename Message>
    std::vector<Message> messages()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Message> found;
        for (const fleet::FleetMessage &message : m_messages) {
            if (const auto *typed = std::get_if<Message>(&message)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    int reportedFailures()
    {
        int failures = 0;
        for (const auto &notice : messages<fleet::UpstreamNotice>()) {
            failures += notice.items.front().failures;
        }
        return failures;
    }

private:
    net::EventLoop m_loop;
    std::unique_ptr<proxy::RequestContext> m_context;
    std::unique_ptr<proxy::ProxyServer> m_server;
    std::mutex m_mutex;
    std::vector<fleet::FleetMessage> m_messages;
    int m_port = 0;
};

std::string sendAndReceive(int port, const std::string &request)
{
    RawClient client(port);
    client.send(request);
    return client.receiveAnswer();
}

} // namespace

TEST_CASE("instances find each other through the store, and one reads the store for all")
{
    PlatformStore store;
    standins::putConfiguration(store, 1);
    ProxyInstance first(store, {"edge-1", {}, 0});
    ProxyInstance second(store, {"edge-2", {}, 0});
    ProxyInstance third(store, {"edge-3", {}, 0});
    for (ProxyInstance *instance : {&first, &second, &third}) {
        REQUIRE_MESSAGE(instance->waitForInstances(3, discoveryTimeout), "the instances did not find each other");
        REQUIRE(instance->waitForVersion(1));
    }
    const int before = store.calls();
    constexpr Duration watched = std::chrono::seconds{3};
    std::this_thread::sleep_for(watched);
    // Reads of the upstreams, and long polls of the configuration that end without a change.
    const int oneReader = static_cast<int>(watched / fleet::readPeriod) + static_cast<int>(watched / std::chrono::milliseconds{800}) + 2;
    CHECK_MESSAGE(store.calls() - before <= oneReader, "three instances made " << store.calls() - before << " calls");
    standins::putConfiguration(store, 2);
    standins::putUpstream(store, "u1", "127.0.0.1:9", 1);
    for (ProxyInstance *instance : {&first, &second, &third}) {
        CHECK_MESSAGE(instance->waitForVersion(2), "a configuration version did not reach an instance that does not read the store");
        CHECK_MESSAGE(instance->waitForUpstreams(1), "an upstream did not reach an instance that does not read the store");
    }
}

// Guards against a store that is overloaded when a large fleet starts: each instance read the whole state itself, several
// times, before it had found the others.
TEST_CASE("instances that start together make few calls to the store until all are ready")
{
    constexpr int instances = 8;
    PlatformStore store;
    standins::putConfiguration(store, 1);
    standins::putUpstream(store, "u1", "127.0.0.1:9", 1);
    std::vector<std::unique_ptr<ProxyInstance>> fleet;
    for (int number = 1; number <= instances; ++number) {
        const standins::ProxyInstanceOptions options{"edge-" + std::to_string(number), {}, 0, true};
        fleet.push_back(std::make_unique<ProxyInstance>(store, options));
    }
    for (const auto &instance : fleet) {
        REQUIRE_MESSAGE(instance->waitForVersion(1), "an instance has no configuration");
        REQUIRE_MESSAGE(instance->waitForUpstreams(1), "an instance does not know the upstream");
    }
    // One entry and one list each, and the reads of the few that come first. All of them reading would take two more each.
    const int calls = store.calls();
    CHECK_MESSAGE(calls < 4 * instances, "the instances made " << calls << " calls");
}

// Guards against an instance that finds no other one because the store has deleted the records of its log.
TEST_CASE("instances find each other when the oldest records of the instance list have been deleted")
{
    PlatformStore store;
    standins::putConfiguration(store, 1);
    ProxyInstance first(store, {"edge-1", {}, 0});
    REQUIRE(first.waitForInstances(1, discoveryTimeout));
    for (int count = 0; count < 500 && store.newest("keyed.instances", "edge-1").empty(); ++count) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    store.compact("keyed.instances");
    ProxyInstance second(store, {"edge-2", {}, 0});
    CHECK_MESSAGE(second.waitForInstances(2, discoveryTimeout), "the second instance does not know the first one");
}

// Guards against failed discovery while the store is unreachable: the seeds in the settings were read but never used.
TEST_CASE("instances find each other by their seeds while the store is silent")
{
    PlatformStore store;
    store.setFault(StoreFault::Silent);
    ProxyInstance first(store, {"edge-1", {}, 0});
    ProxyInstance second(store, {"edge-2", {first.peers()}, 0});
    CHECK_MESSAGE(second.waitForInstances(1, discoveryTimeout), "the directory of the second instance lacks the first one");
    CHECK_MESSAGE(first.waitForInstances(1, discoveryTimeout), "the directory of the first instance lacks the second one");
}

// Guards against an instance that answers 503 until the store is back: only instances that read the store told what they know.
TEST_CASE("an instance that starts while the store is away serves with the configuration and upstreams of its peers")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        return ScriptedReply{ScriptedUpstream::answerTo(request, 200, "body"), false, false, false, {}};
    });
    PlatformStore store;
    standins::putConfiguration(store, 1);
    standins::putUpstream(store, "u1", upstream.address(), 1);
    ProxyInstance first(store, {"edge-1", {}, 0});
    REQUIRE(first.waitForVersion(1));
    REQUIRE(first.waitForUpstreams(1));
    store.setFault(StoreFault::Silent);
    // By then the first instance no longer counts as one that reads the store.
    std::this_thread::sleep_for(std::chrono::seconds{3});
    ProxyInstance second(store, {"edge-2", {first.peers()}, 0});
    CHECK_MESSAGE(second.waitForVersion(1), "the second instance has no configuration");
    CHECK_MESSAGE(second.waitForUpstreams(1), "the second instance does not know the upstream");
    RawClient client(second.callersPort());
    client.send(callerRequest("GET", "/safe/a", "id-1"));
    CHECK_MESSAGE(client.receiveAnswer().starts_with("HTTP/1.1 200"), "the second instance does not serve");
}

// Guards against an instance that remains unknown after a restart: its clock had been set back, so its new incarnation was
// lower than the previous one.
TEST_CASE("an instance that restarts with its clock set back is found again")
{
    PlatformStore store;
    standins::putConfiguration(store, 1);
    ProxyInstance staying(store, {"edge-1", {}, 0});
    constexpr Incarnation later = 5000000000000;
    std::optional<ProxyInstance> restarted;
    restarted.emplace(store, standins::ProxyInstanceOptions{"edge-2", {}, later});
    REQUIRE(staying.waitForInstances(2, discoveryTimeout));
    restarted.reset();
    REQUIRE_MESSAGE(staying.waitForInstances(1, std::chrono::seconds{15}), "a failed instance is still in the directory");
    restarted.emplace(store, standins::ProxyInstanceOptions{"edge-2", {}, later - 2400000});
    CHECK_MESSAGE(staying.waitForInstances(2, std::chrono::seconds{15}), "the restarted instance is not in the directory");
}

TEST_CASE("a failed request and a misdirected one are broadcast, and a graceful stop reports no failure")
{
    ServerFixture fixture;
    SUBCASE("failure")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &request) {
            return ScriptedReply{ScriptedUpstream::answerTo(request, 500, "no"), false, false, false, {}};
        });
        fixture.setUpstreams({upstream.address()});
        sendAndReceive(fixture.port(), callerRequest("POST", "/once/a", "id-1", "x"));
        CHECK(fixture.reportedFailures() == 1);
    }
    SUBCASE("misdirected")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &) {
            return ScriptedReply{"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, false, false, {}};
        });
        fixture.setUpstreams({upstream.address()});
        sendAndReceive(fixture.port(), callerRequest("POST", "/once/a", "id-1", "x"));
        CHECK(fixture.messages<fleet::MisdirectedNotice>().size() == 1);
        CHECK(fixture.reportedFailures() == 0);
    }
    SUBCASE("graceful stop")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &) {
            return ScriptedReply{{}, false, false, true, {}};
        });
        fixture.setUpstreams({upstream.address()});
        RawClient client(fixture.port());
        client.send(callerRequest("POST", "/once/a", "id-1", "x"));
        for (int count = 0; count < 100 && upstream.requests().empty(); ++count) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        fixture.call([](proxy::RequestContext &, proxy::ProxyServer &server) {
            server.endRequests();
        });
        CHECK_MESSAGE(client.receiveAnswer().starts_with("HTTP/1.1 504"), "a request that may have run was not answered 504");
        CHECK_MESSAGE(fixture.reportedFailures() == 0, "the stop was reported as a failure of the upstream");
    }
}

TEST_CASE("a request whose upstream resets it and is then unreachable is reported as a crash")
{
    ServerFixture fixture;
    auto crashing = std::make_unique<ScriptedUpstream>([](const ReceivedRequest &) {
        return ScriptedReply{{}, false, true, false, {}};
    });
    fixture.setUpstreams({crashing->address()});
    sendAndReceive(fixture.port(), callerRequest("POST", "/once/death", "id-1", "x"));
    crashing.reset();
    sendAndReceive(fixture.port(), callerRequest("POST", "/once/other", "id-2", "x"));
    const auto reports = fixture.messages<fleet::CrashReport>();
    REQUIRE_MESSAGE(reports.size() == 1, "the crash was not reported once");
    CHECK_MESSAGE(reports.front().records.front().upstreams.size() == 1, "the report does not name the upstream");
}

// Guards against a crash of the process: the address in an entry from another instance was not validated.
TEST_CASE("an unusable upstream entry from another instance is ignored")
{
    net::EventLoop loop;
    proxy::StoreReplicaHooks hooks;
    hooks.onUpstreams = [] {};
    proxy::StoreReplica feed(loop, {}, InstanceId{"i"}, DataCentreId{"dc"}, hooks);
    fleet::UpstreamEntry good;
    good.id = UpstreamId{"good"};
    good.service = ServiceId{"svc"};
    good.address = "127.0.0.1:80";
    fleet::UpstreamEntry bad = good;
    bad.id = UpstreamId{"bad"};
    bad.address = "nowhere";
    fleet::UpstreamEntry empty = good;
    empty.id = UpstreamId{"empty"};
    empty.slots = 0;
    feed.applyDelta({{good, bad, empty}, {}});
    REQUIRE(feed.catalogue().entries().size() == 1);
    CHECK(feed.catalogue().entries().front().id == good.id);
}
