/** Entries of other writers in the platform's store: the list that holds them is still read in full. */
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

const std::string upstreamTopic = "keyed.servers";
const std::string operatorTopic = "keyed.op";
const std::string instanceTopic = "keyed.instances";
constexpr std::size_t upstreamCount = 4;

/** Names that an unescaped query, path or request line would change or end. */
const std::vector<std::string> awkwardNames{"u1&part=7", "u1+1", "u1#1", "u1%41", "u1 1", "u1/?=", "u1\"\\", "u1\r\n", "u1\xc3\xa9", "u1"};

/** A store whose lists take several pages, with the records of a fleet that starts. */
struct PagedStore {
    PagedStore()
        : upstream([](const ReceivedRequest &request) {
            return ScriptedReply{ScriptedUpstream::answerTo(request, 200, "body")};
        })
    {
        store.setPageSize(1);
        standins::putConfiguration(store, 1);
        for (std::size_t number = 0; number < upstreamCount; ++number) {
            // They sort before and after the names of other writers.
            const std::string id = std::string(number % 2 == 0 ? "a" : "z") + std::to_string(number);
            standins::putUpstream(store, id, upstream.address(), 1);
        }
    }

    /** Starts an instance and sends one request through it; returns the answer. */
    std::string answerAfterStart()
    {
        ProxyInstance instance(store);
        CHECK_MESSAGE(instance.waitForVersion(1), "the configuration is not in force");
        CHECK_MESSAGE(instance.waitForUpstreams(upstreamCount), "the instance does not know the upstreams");
        standins::RawClient client(instance.callersPort());
        client.send(standins::callerRequest("GET", "/safe/a", "id-1"));
        return client.receiveAnswer();
    }

    ScriptedUpstream upstream;
    PlatformStore store;
};

} // namespace

TEST_CASE("an entry whose name needs escaping does not keep a restarted instance from reading the list of upstreams")
{
    for (const std::string &name : awkwardNames) {
        CAPTURE(name);
        PagedStore paged;
        paged.store.put(upstreamTopic, name, "not an entry");
        const std::string answer = paged.answerAfterStart();
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 200"), "unexpected answer: " << answer);
    }
}

TEST_CASE("a record whose name needs escaping does not keep a restarted instance from reading the configuration")
{
    for (const std::string &name : awkwardNames) {
        CAPTURE(name);
        PagedStore paged;
        paged.store.put(operatorTopic, "a" + name, "not a configuration"); // sorts before the configuration
        CHECK(paged.answerAfterStart().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("an item that cannot be read does not hide the others on its page")
{
    for (const char *item : {"7",
                             "{}",
                             R"({"key":3,"value":"Pw=="})",
                             R"({"key":"k"})",
                             R"({"key":"k","value":7})",
                             R"({"key":"k","value":"not base64"})",
                             "{\"key\":\"\xff\xfe\",\"value\":\"Pw==\"}"}) {
        CAPTURE(std::string(item));
        PagedStore paged;
        paged.store.setStrangeItem(item);
        CHECK(paged.answerAfterStart().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("an entry in the list of instances that is none does not end the process")
{
    for (const char *entry : {R"({"address":7,"zone":"dc-1"})", R"({"address":"127.0.0.1:1","zone":{}})", "[]", "\xff"}) {
        CAPTURE(std::string(entry));
        PagedStore paged;
        paged.store.put(instanceTopic, "other program", entry);
        ProxyInstance instance(paged.store);
        CHECK(instance.waitForVersion(1));
        // The list has been read by the time the entry of a later instance is known.
        standins::ProxyInstanceOptions options;
        options.name = "edge-2";
        ProxyInstance second(paged.store, options);
        CHECK_MESSAGE(second.waitForInstances(2, std::chrono::seconds{5}), "the second instance did not read the list");
    }
}

TEST_CASE("large records of other writers do not hide the instances behind them")
{
    PagedStore paged;
    constexpr std::size_t readSize = 1000;
    paged.store.setReadSize(readSize);
    for (const char *name : {"a", "b", "c"}) {
        paged.store.put(instanceTopic, name, std::string(readSize, '?'));
    }
    ProxyInstance first(paged.store);
    REQUIRE(first.waitForVersion(1));
    standins::ProxyInstanceOptions options;
    options.name = "edge-2";
    ProxyInstance second(paged.store, options);
    CHECK_MESSAGE(second.waitForInstances(2, std::chrono::seconds{5}), "the second instance did not find the first one");
}

TEST_CASE("a version that cannot be decoded, or is lower, does not hide the one written before it")
{
    for (const char *later : {"{}", R"({"version":"zz","listeners":[],"clusters":[]})", "lower"}) {
        CAPTURE(std::string(later));
        PagedStore paged;
        ProxyInstance instance(paged.store);
        REQUIRE(instance.waitForVersion(1));
        paged.store.setUnavailableTopic(operatorTopic);
        standins::putConfiguration(paged.store, 5);
        if (std::string(later) == "lower") {
            standins::putConfiguration(paged.store, 3);
        } else {
            paged.store.put(operatorTopic, "config", later);
        }
        paged.store.setUnavailableTopic({});
        CHECK_MESSAGE(instance.waitForVersion(5), "the confirmed version is not in force");
    }
}

TEST_CASE("a configuration whose version is not a number does not come into force")
{
    PagedStore paged;
    paged.store.put(operatorTopic, "config", R"({"version":"zz","listeners":[],"clusters":[]})");
    ProxyInstance instance(paged.store);
    REQUIRE(instance.waitForUpstreams(upstreamCount));
    bool ready = true;
    instance.call([&](proxy::Gateway &gateway) {
        ready = gateway.ready();
    });
    CHECK_FALSE(ready);
}

TEST_CASE("a list of upstreams that cannot be read does not keep a configuration from coming into force")
{
    SUBCASE("while the instance runs")
    {
        PagedStore paged;
        ProxyInstance instance(paged.store);
        REQUIRE(instance.waitForVersion(1));
        REQUIRE(instance.waitForUpstreams(upstreamCount));
        paged.store.setUnavailableTopic(upstreamTopic);
        std::this_thread::sleep_for(std::chrono::milliseconds{1500}); // several reads fail
        standins::putConfiguration(paged.store, 2);
        CHECK_MESSAGE(instance.waitForVersion(2), "the confirmed version is not in force");
    }
    SUBCASE("when the instance starts")
    {
        PagedStore paged;
        paged.store.setUnavailableTopic(upstreamTopic);
        ProxyInstance instance(paged.store);
        REQUIRE(instance.waitForVersion(1));
        std::this_thread::sleep_for(std::chrono::milliseconds{1500});
        standins::putConfiguration(paged.store, 2);
        CHECK_MESSAGE(instance.waitForVersion(2), "the confirmed version is not in force");
    }
}

TEST_CASE("an entry whose name has a line break adds no line to a request")
{
    PagedStore paged;
    standins::putUpstream(paged.store, "m\r\nX-Added: 1", paged.upstream.address(), 1);
    CHECK(paged.answerAfterStart().starts_with("HTTP/1.1 200"));
    for (const ReceivedRequest &request : paged.upstream.requests()) {
        CHECK(request.header("X-Added").empty());
    }
}
