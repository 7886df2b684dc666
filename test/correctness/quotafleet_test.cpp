/** Quotas of organisations, end to end: two proxy instances with stand-ins for the platform's store and an upstream. */
#include "platform/names.h"
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace jackdawdoor;
using namespace std::chrono_literals;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

using Clock = std::chrono::steady_clock;

constexpr const char *limitedOrganisation =
    R"([{"name":"north","api-keys":["key-n"],"rate-per-s":20,"burst":10},{"name":"south","api-keys":["key-s"]}])";
constexpr double rate = 20;
constexpr double burst = 10;

ScriptedReply healthy(const ReceivedRequest &request)
{
    return {ScriptedUpstream::answerTo(request, 200, "body"), false, false, false, {}};
}

void putOrganisations(PlatformStore &store, std::uint64_t version, const std::string &organisations)
{
    using namespace platform::names;
    PlatformStore scratch;
    standins::putConfiguration(scratch, version);
    auto document = nlohmann::json::parse(scratch.newest(operatorTopic, configurationKey));
    document["tenants"] = nlohmann::json::parse(organisations);
    store.put(operatorTopic, configurationKey, document.dump());
}

std::string withKey(const std::string &key)
{
    return "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Jackdawdoor-Request-Id: id-1\r\nAuthorization: Bearer " + key + "\r\n\r\n";
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

double secondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

/** Two instances that know each other, and one upstream. */
struct QuotaFixture {
    explicit QuotaFixture(const std::string &organisations = limitedOrganisation, bool withUpstream = true)
        : upstream(healthy)
    {
        putOrganisations(store, 1, organisations);
        if (withUpstream) {
            standins::putUpstream(store, "u1", upstream.address(), 1);
        }
        first = std::make_unique<ProxyInstance>(store, standins::ProxyInstanceOptions{.name = "edge-1"});
        second = std::make_unique<ProxyInstance>(store, standins::ProxyInstanceOptions{.name = "edge-2", .seeds = {first->peers()}});
        for (const auto &instance : {first.get(), second.get()}) {
            REQUIRE(instance->waitForVersion(1));
            REQUIRE(instance->waitForUpstreams(withUpstream ? 1 : 0));
            REQUIRE(instance->waitForInstances(2, 5s));
        }
        clients.push_back(std::make_unique<RawClient>(first->callersPort()));
        clients.push_back(std::make_unique<RawClient>(second->callersPort()));
    }

    std::string ask(std::size_t instance, const std::string &key)
    {
        clients[instance]->send(withKey(key));
        return clients[instance]->receiveAnswer();
    }

    PlatformStore store;
    ScriptedUpstream upstream;
    std::unique_ptr<ProxyInstance> first;
    std::unique_ptr<ProxyInstance> second;
    std::vector<std::unique_ptr<RawClient>> clients;
};

} // namespace

TEST_CASE("Two instances admit an organisation's quota together, and answer 429 with Retry-After above it")
{
    // Guards against a quota that is decided but not enforced, and against one for each instance.
    QuotaFixture fixture;
    std::this_thread::sleep_for(1s); // the buckets of a fleet that starts are empty
    int admitted = 0;
    int refused = 0;
    const auto begin = Clock::now();
    while (secondsSince(begin) < 3) {
        const std::string answer = fixture.ask(static_cast<std::size_t>(admitted + refused) % 2, "key-n");
        if (hasStatus(answer, 200)) {
            ++admitted;
        } else {
            REQUIRE_MESSAGE(hasStatus(answer, 429), "unexpected answer: " << answer);
            CHECK(answer.find("X-Jackdawdoor-Request-Id: id-1") != std::string::npos);
            CHECK(answer.find("Retry-After: ") != std::string::npos);
            ++refused;
        }
        std::this_thread::sleep_for(5ms);
    }
    const double seconds = secondsSince(begin);
    MESSAGE("admitted " << admitted << ", refused " << refused << " in " << seconds << " s");
    CHECK(admitted <= (rate * seconds + burst) * 1.1 + 20);
    CHECK(admitted <= rate * seconds * 1.6 + burst);
    CHECK(admitted >= rate * seconds * 0.8);
    CHECK(refused > 0);
    CHECK_MESSAGE(fixture.upstream.requests().size() == static_cast<std::size_t>(admitted), "a refused request reached the upstream");
    CHECK_MESSAGE(hasStatus(fixture.ask(0, "key-s"), 200), "an organisation without a quota was refused");
    CHECK_MESSAGE(hasStatus(fixture.ask(1, "key-s"), 200), "an organisation without a quota was refused");
}

TEST_CASE("Admissions of one instance use the quota at the other")
{
    QuotaFixture fixture;
    std::this_thread::sleep_for(1s);
    while (!hasStatus(fixture.ask(0, "key-n"), 429)) {
    }
    std::this_thread::sleep_for(100ms);
    int admitted = 0;
    const auto begin = Clock::now();
    for (int count = 0; count < 30; ++count) {
        admitted += hasStatus(fixture.ask(1, "key-n"), 200) ? 1 : 0;
    }
    // Without the reports, the second instance would admit its full bucket of at least 14 requests.
    CHECK(admitted <= 6 + rate * secondsSince(begin));
}

TEST_CASE("A limit that a new configuration removes no longer refuses, also on open connections")
{
    QuotaFixture fixture;
    while (!hasStatus(fixture.ask(0, "key-n"), 429)) {
    }
    putOrganisations(fixture.store, 2, R"([{"name":"north","api-keys":["key-n"]}])");
    REQUIRE(fixture.first->waitForVersion(2));
    for (int count = 0; count < 50; ++count) {
        CHECK(hasStatus(fixture.ask(0, "key-n"), 200));
    }
}

TEST_CASE("A request that finds no upstream gives its token back")
{
    // Guards against an organisation that is refused after an outage in which none of its requests ran.
    // Each request waits some 140 ms for an upstream, in which a seventh of a token is refilled.
    QuotaFixture fixture(R"([{"name":"north","api-keys":["key-n"],"rate-per-s":1}])", false);
    std::this_thread::sleep_for(1s);
    for (int count = 0; count < 12; ++count) {
        const std::string answer = fixture.ask(0, "key-n");
        CHECK_MESSAGE(hasStatus(answer, 503), "unexpected answer: " << answer);
    }
}
