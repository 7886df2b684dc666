/** Requests that crash the upstreams that run them: how many upstreams the fleet sends such a request to. */
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::ProxyInstanceOptions;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

/** A request may crash three upstreams before it must be recognised, and reach upstreams in three retries after that. */
constexpr int allowedRuns = 3 + 3;
/** Time between two requests of the callers. */
constexpr Duration callerPause = std::chrono::milliseconds{250};
constexpr Duration discoveryTimeout = std::chrono::seconds{5};
/** An upstream that has crashed is back after this time. */
constexpr Duration crashTime = std::chrono::milliseconds{1500};
constexpr int upstreamCount = 12;

/** Upstreams that crash while they run a request whose path ends with "crashing", and instances before them. */
class CrashingFleet
{
public:
    explicit CrashingFleet(int instances)
    {
        standins::putConfiguration(m_store, 1);
        for (int number = 1; number <= upstreamCount; ++number) {
            m_upstreams.push_back(std::make_unique<ScriptedUpstream>([](const ReceivedRequest &request) {
                ScriptedReply reply;
                const std::string line = request.head.substr(0, request.head.find("\r\n"));
                if (line.find("crashing") == std::string::npos) {
                    reply.bytes = ScriptedUpstream::answerTo(request, 200, "ok");
                } else {
                    reply.crashFor = crashTime;
                }
                return reply;
            }));
            standins::putUpstream(m_store, "u" + std::to_string(number), m_upstreams.back()->address(), 1);
        }
        for (int number = 1; number <= instances; ++number) {
            startInstance("edge-" + std::to_string(number));
        }
        for (const auto &instance : m_instances) {
            REQUIRE_MESSAGE(instance->waitForInstances(static_cast<std::size_t>(instances), discoveryTimeout),
                            "the instances did not find each other");
        }
    }

    void startInstance(const std::string &name)
    {
        m_instances.push_back(std::make_unique<ProxyInstance>(m_store, ProxyInstanceOptions{name}));
        REQUIRE(m_instances.back()->waitForVersion(1));
        REQUIRE(m_instances.back()->waitForUpstreams(upstreamCount));
    }

    void stopFirstInstance()
    {
        m_instances.erase(m_instances.begin());
    }

    /** Sends a request to one instance and returns its answer. */
    std::string send(std::size_t instance, const std::string &method, const std::string &path)
    {
        RawClient client(m_instances.at(instance % m_instances.size())->callersPort());
        client.send(callerRequest(method, path, "id-" + std::to_string(++m_sent), method == "POST" ? "x" : ""));
        std::string answer = client.receiveAnswer();
        std::this_thread::sleep_for(callerPause);
        return answer;
    }

    /** Number of times that an upstream began to run the crashing request. */
    int crashingRuns()
    {
        int runs = 0;
        for (const auto &upstream : m_upstreams) {
            for (const ReceivedRequest &request : upstream->requests()) {
                runs += request.head.find("crashing") == std::string::npos ? 0 : 1;
            }
        }
        return runs;
    }

private:
    PlatformStore m_store;
    std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
    std::vector<std::unique_ptr<ProxyInstance>> m_instances;
    int m_sent = 0;
};

} // namespace

TEST_CASE("a request that crashes upstreams is not sent to more and more of them when its caller repeats it")
{
    CrashingFleet fleet(4);
    std::string method;
    std::string prefix;
    bool otherQueries = false;
    SUBCASE("at most once")
    {
        method = "POST";
        prefix = "/once/";
    }
    SUBCASE("idempotent")
    {
        method = "GET";
        prefix = "/safe/";
    }
    SUBCASE("with another query each time")
    {
        method = "POST";
        prefix = "/once/";
        otherQueries = true;
    }
    for (std::size_t repeat = 0; repeat < 12; ++repeat) {
        fleet.send(repeat, method, prefix + "crashing" + (otherQueries ? "?page=" + std::to_string(repeat) : ""));
    }
    CHECK_MESSAGE(fleet.crashingRuns() <= allowedRuns, "the request reached upstreams " << fleet.crashingRuns() << " times");
    CHECK_MESSAGE(fleet.send(0, method, prefix + "other").starts_with("HTTP/1.1 200"), "another request is refused as well");
}

TEST_CASE("a request that crashes upstreams is not retried at a third one when the retry budget allows it")
{
    CrashingFleet fleet(1);
    // Earns the retry budget that two retries need.
    for (int request = 0; request < 40; ++request) {
        fleet.send(0, "GET", "/safe/other");
    }
    fleet.send(0, "GET", "/safe/crashing");
    CHECK_MESSAGE(fleet.crashingRuns() == 2, "it reached upstreams " << fleet.crashingRuns() << " times");
}

TEST_CASE("an instance that starts later does not send a request to upstreams that it has crashed before")
{
    CrashingFleet fleet(2);
    for (std::size_t repeat = 0; repeat < 4; ++repeat) {
        fleet.send(repeat, "POST", "/once/crashing");
    }
    for (int number = 3; number <= 8; ++number) {
        fleet.startInstance("edge-" + std::to_string(number));
        fleet.stopFirstInstance();
        // The rule counts from three seconds after the start of an instance.
        std::this_thread::sleep_for(std::chrono::seconds{3});
        fleet.send(1, "POST", "/once/crashing");
    }
    CHECK_MESSAGE(fleet.crashingRuns() <= allowedRuns, "the request reached upstreams " << fleet.crashingRuns() << " times");
}
