/** API keys of organisations, end to end: one proxy instance with stand-ins for the platform's store and an upstream. */
#include "platform/names.h"
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
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

constexpr const char *northAndSouth = R"([{"name":"north","api-keys":["key-n1","key-n2"]},{"name":"south","api-keys":["key-s1"]}])";

ScriptedReply healthy(const ReceivedRequest &request)
{
    return {ScriptedUpstream::answerTo(request, 200, "body"), false, false, false, {}};
}

/** Writes the configuration of putConfiguration() with a public route "/open/" and these organisations. */
void putOrganisations(PlatformStore &store, std::uint64_t version, const std::string &organisations)
{
    using namespace platform::names;
    PlatformStore scratch;
    standins::putConfiguration(scratch, version);
    auto document = nlohmann::json::parse(scratch.newest(operatorTopic, configurationKey));
    auto &rules = document["listeners"][0]["rules"];
    auto open = rules[0];
    open["match"]["path-prefix"] = "/open/";
    open["public"] = true;
    rules.push_back(open);
    document["tenants"] = nlohmann::json::parse(organisations);
    store.put(operatorTopic, configurationKey, document.dump());
}

std::string request(const std::string &path, const std::string &headers)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Jackdawdoor-Request-Id: id-1\r\n" + headers + "\r\n";
}

std::string withKey(const std::string &key, const std::string &path = "/safe/a")
{
    return request(path, "Authorization: Bearer " + key + "\r\n");
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/** One instance and one upstream; with organisations unless empty. */
struct OrganisationFixture {
    explicit OrganisationFixture(const std::string &organisations, ScriptedUpstream::Script script = healthy)
        : upstream(std::move(script))
    {
        if (organisations.empty()) {
            standins::putConfiguration(store, 1);
        } else {
            putOrganisations(store, 1, organisations);
        }
        standins::putUpstream(store, "u1", upstream.address(), 1);
        instance = std::make_unique<ProxyInstance>(store);
        REQUIRE_MESSAGE(instance->waitForVersion(1), "the configuration is not in force");
        REQUIRE_MESSAGE(instance->waitForUpstreams(1), "the instance does not know the upstream");
    }

    void change(std::uint64_t version, const std::string &organisations)
    {
        putOrganisations(store, version, organisations);
        REQUIRE_MESSAGE(instance->waitForVersion(version), "the new configuration is not in force");
    }

    PlatformStore store;
    ScriptedUpstream upstream;
    std::unique_ptr<ProxyInstance> instance;
};

std::string roundTrip(RawClient &client, const std::string &bytes)
{
    client.send(bytes);
    return client.receiveAnswer();
}

std::string sendAndReceive(const OrganisationFixture &fixture, const std::string &bytes)
{
    RawClient client(fixture.instance->callersPort());
    return roundTrip(client, bytes);
}

} // namespace

TEST_CASE("the upstream gets the organisation's name, and neither the API key nor a name that the caller claims")
{
    OrganisationFixture fixture(northAndSouth);
    const std::string answer = sendAndReceive(
        fixture,
        request("/safe/a",
                "X-Jackdawdoor-Tenant: forged\r\nAUTHORIZATION: bearer \t key-n2 \r\nx-jackdawdoor-tenant: forged\r\nX-Other: kept\r\n"));
    CHECK_MESSAGE(hasStatus(answer, 200), "unexpected answer: " << answer);
    REQUIRE(fixture.upstream.requests().size() == 1);
    const ReceivedRequest received = fixture.upstream.requests().front();
    CHECK_MESSAGE(received.header("X-Jackdawdoor-Tenant") == "north", received.head);
    CHECK_MESSAGE(count(received.head, "-Tenant") + count(received.head, "-tenant") == 1, received.head);
    CHECK_MESSAGE(received.head.find("forged") == std::string::npos, received.head);
    CHECK_MESSAGE(received.head.find("key-") == std::string::npos, received.head);
    CHECK_MESSAGE(count(received.head, "uthorization") + count(received.head, "UTHORIZATION") == 0, received.head);
    CHECK(received.header("X-Other") == "kept");
}

TEST_CASE("a caller cannot remove the organisation's name by naming its header in Connection")
{
    OrganisationFixture fixture(northAndSouth);
    const std::string connection = "Connection: X-Jackdawdoor-Tenant, Authorization\r\n";
    CHECK(hasStatus(sendAndReceive(fixture, request("/safe/a", connection + "Authorization: Bearer key-s1\r\n")), 200));
    REQUIRE(fixture.upstream.requests().size() == 1);
    CHECK(fixture.upstream.requests().front().header("X-Jackdawdoor-Tenant") == "south");
}

TEST_CASE("a public route is served with any or no Authorization header, and passes on no key and no organisation")
{
    OrganisationFixture fixture(northAndSouth);
    for (const char *headers : {"",
                                "Authorization: Bearer key-n1\r\n",
                                "Authorization: Bearer wrong\r\nAuthorization: Basic x\r\n",
                                "X-Jackdawdoor-Tenant: north\r\n"}) {
        const std::string answer = sendAndReceive(fixture, request("/open/a", headers));
        CHECK_MESSAGE(hasStatus(answer, 200), "unexpected answer: " << answer);
    }
    for (const ReceivedRequest &received : fixture.upstream.requests()) {
        CHECK_MESSAGE(received.head.find("uthorization") == std::string::npos, received.head);
        CHECK_MESSAGE(received.head.find("Tenant") == std::string::npos, received.head);
    }
    CHECK(hasStatus(sendAndReceive(fixture, request("/open/../once/a", "")), 401));
}

TEST_CASE("a request without a valid key gets 401, reaches no upstream and leaves the connection usable")
{
    OrganisationFixture fixture(northAndSouth);
    RawClient client(fixture.instance->callersPort());
    for (const char *headers : {"",
                                "Authorization: Bearer key-n\r\n",
                                "Authorization: Basic key-n1\r\n",
                                "Authorization: Bearer key-n1\r\nAuthorization: Bearer key-n1\r\n"}) {
        const std::string answer = roundTrip(client, request("/safe/a", headers));
        CHECK_MESSAGE(hasStatus(answer, 401), "unexpected answer: " << answer);
        CHECK_MESSAGE(answer.find("\r\nWWW-Authenticate: Bearer\r\n") != std::string::npos, answer);
        CHECK_MESSAGE(answer.find("\r\nX-Jackdawdoor-Request-Id: id-1\r\n") != std::string::npos, answer);
    }
    CHECK(fixture.upstream.requests().empty());
    CHECK(hasStatus(roundTrip(client, withKey("key-n1")), 200));
    CHECK(hasStatus(roundTrip(client, withKey("key-n1", "/other/a")), 404));
}

TEST_CASE("rejected requests are counted by reason, and the metrics name no key and no organisation")
{
    OrganisationFixture fixture(northAndSouth);
    static_cast<void>(sendAndReceive(fixture, withKey("key-wrong")));
    static_cast<void>(sendAndReceive(fixture, withKey("key-n1")));
    std::string metrics;
    fixture.instance->call([&metrics](proxy::Gateway &gateway) {
        metrics = gateway.metrics().text();
    });
    CHECK_MESSAGE(metrics.find("jackdawdoor_authentication_failures_total{reason=\"unknown-key\"} 1") != std::string::npos, metrics);
    CHECK_MESSAGE(metrics.find("key-wrong") == std::string::npos, metrics);
    CHECK_MESSAGE(metrics.find("key-n1") == std::string::npos, metrics);
    CHECK_MESSAGE(metrics.find("north") == std::string::npos, metrics);
}

TEST_CASE("without organisations in the configuration a request passes unchanged")
{
    OrganisationFixture fixture("");
    const std::string headers = "Authorization: Bearer key-n1\r\nX-Jackdawdoor-Tenant: claimed\r\n";
    CHECK(hasStatus(sendAndReceive(fixture, request("/safe/a", headers)), 200));
    REQUIRE(fixture.upstream.requests().size() == 1);
    const std::string head = fixture.upstream.requests().front().head;
    CHECK_MESSAGE(head.starts_with("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Jackdawdoor-Request-Id: id-1\r\n" + headers
                                   + "X-Jackdawdoor-Deadline-Ms: "),
                  head);
}

TEST_CASE("an instance without a configuration answers 503, also to an unknown key")
{
    PlatformStore empty;
    ProxyInstance fresh(empty);
    RawClient client(fresh.callersPort());
    CHECK(hasStatus(roundTrip(client, withKey("key-n1")), 503));
}

TEST_CASE("a key is withdrawn, added and moved to another organisation on an open connection")
{
    OrganisationFixture fixture(northAndSouth);
    RawClient client(fixture.instance->callersPort());
    CHECK(hasStatus(roundTrip(client, withKey("key-n1")), 200));
    CHECK(hasStatus(roundTrip(client, withKey("key-n3")), 401));
    fixture.change(2, R"([{"name":"north","api-keys":["key-n3"]},{"name":"south","api-keys":["key-s1","key-n2"]}])");
    CHECK_MESSAGE(hasStatus(roundTrip(client, withKey("key-n1")), 401), "a withdrawn key is accepted");
    CHECK_MESSAGE(hasStatus(roundTrip(client, withKey("key-n3")), 200), "an added key is rejected");
    CHECK(hasStatus(roundTrip(client, withKey("key-n2")), 200));
    CHECK(fixture.upstream.requests().back().header("X-Jackdawdoor-Tenant") == "south");
}

TEST_CASE("a key that is withdrawn while a pipelined request waits does not authenticate it")
{
    std::atomic<bool> arrived{false};
    std::atomic<bool> released{false};
    OrganisationFixture fixture(northAndSouth, [&arrived, &released](const ReceivedRequest &received) {
        arrived = true;
        while (!released) {
            std::this_thread::sleep_for(1ms);
        }
        return healthy(received);
    });
    RawClient client(fixture.instance->callersPort());
    client.send(withKey("key-n1") + withKey("key-n1") + withKey("key-s1"));
    while (!arrived) {
        std::this_thread::sleep_for(1ms);
    }
    putOrganisations(fixture.store, 2, R"([{"name":"south","api-keys":["key-s1"]}])");
    const bool inForce = fixture.instance->waitForVersion(2);
    released = true;
    REQUIRE(inForce);
    CHECK_MESSAGE(hasStatus(client.receiveAnswer(), 200), "the request in progress was not finished");
    CHECK_MESSAGE(hasStatus(client.receiveAnswer(), 401), "a withdrawn key is accepted");
    CHECK(hasStatus(client.receiveAnswer(), 200));
}
