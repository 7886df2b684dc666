/** One proxy instance end to end, with stand-ins for the platform's store and for upstreams. */
#include "standins/instancefixture.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::InstanceFixture;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;
using standins::StoreFault;

namespace {

ScriptedReply healthy(const ReceivedRequest &request)
{
    return {ScriptedUpstream::answerTo(request, 200, "body"), false, false, false, {}};
}

std::string sendAndReceive(int port, const std::string &request)
{
    RawClient client(port);
    client.send(request);
    return client.receiveAnswer();
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

} // namespace

TEST_CASE("a request reaches an upstream unchanged and its answer is returned with the signature")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a?b=c", "id-1", "order"));
    CHECK_MESSAGE(hasStatus(answer, 200), "unexpected answer: " << answer);
    CHECK_MESSAGE(answer.find("X-Jackdawdoor-Response-Signature: s") != std::string::npos, "the signature is missing: " << answer);
    REQUIRE(upstream.requests().size() == 1);
    const ReceivedRequest received = upstream.requests().front();
    CHECK(received.head.starts_with("POST /once/a?b=c HTTP/1.1"));
    CHECK(received.body == "order");
    CHECK(received.header("X-Jackdawdoor-Request-Id") == "id-1");
    CHECK(received.header("X-Jackdawdoor-Intended-Instance") == "u1");
    const auto deadline = net::parseNumber(received.header("X-Jackdawdoor-Deadline-Ms"));
    CHECK_MESSAGE((deadline && *deadline <= 3000), "the deadline is longer than the route's timeout");
}

TEST_CASE("without a route the answer is 404, and without a configuration 503 with Retry-After")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    CHECK(hasStatus(sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/other/a", "id-1")), 404));
    PlatformStore empty;
    ProxyInstance fresh(empty);
    const std::string answer = sendAndReceive(fresh.callersPort(), callerRequest("GET", "/safe/a", "id-2"));
    CHECK_MESSAGE(hasStatus(answer, 503), "unexpected answer: " << answer);
    CHECK_MESSAGE(answer.find("Retry-After: ") != std::string::npos, "Retry-After is missing: " << answer);
    CHECK_MESSAGE(hasStatus(sendAndReceive(fresh.readinessPort(), "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"), 503),
                  "an instance without a configuration reports that it is ready");
}

TEST_CASE("a request that is not idempotent is not retried after a connection reset, and an idempotent one is")
{
    ScriptedUpstream broken([](const ReceivedRequest &) {
        return ScriptedReply{{}, false, true, false, {}};
    });
    SUBCASE("order")
    {
        ScriptedUpstream second([](const ReceivedRequest &) {
            return ScriptedReply{{}, false, true, false, {}};
        });
        const InstanceFixture fixture({&broken, &second});
        const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-1", "order"));
        CHECK_MESSAGE(hasStatus(answer, 502), "unexpected answer: " << answer);
        CHECK_MESSAGE(broken.requests().size() + second.requests().size() == 1, "the order reached more than one upstream");
    }
    SUBCASE("read")
    {
        ScriptedUpstream sound(healthy);
        InstanceFixture fixture({&sound});
        // Earns retry budget: a starting instance has none, since its share of the fleet's slack may have been used before.
        for (int count = 0; count < 8; ++count) {
            CHECK(hasStatus(
                sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "early-" + std::to_string(count))), 200));
        }
        standins::putUpstream(fixture.store, "u2", broken.address(), 1);
        REQUIRE(fixture.instance->waitForUpstreams(2));
        for (int count = 0; count < 100 && broken.requests().empty(); ++count) {
            const std::string answer =
                sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-" + std::to_string(count)));
            CHECK_MESSAGE(hasStatus(answer, 200), "unexpected answer: " << answer);
        }
        CHECK_MESSAGE(broken.requests().size() == 1, "the new upstream was not tried");
    }
}

TEST_CASE("a request that is not idempotent is retried when the upstream states that it did not run it")
{
    ScriptedUpstream full([](const ReceivedRequest &) {
        return ScriptedReply{"HTTP/1.1 503 X\r\nX-Jackdawdoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false, false, {}};
    });
    ScriptedUpstream sound(healthy);
    const InstanceFixture fixture({&full, &sound});
    int answered = 0;
    for (int count = 0; count < 20; ++count) {
        const std::string answer =
            sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-" + std::to_string(count), "x"));
        answered += hasStatus(answer, 200) ? 1 : 0;
        CHECK_MESSAGE((hasStatus(answer, 200) || hasStatus(answer, 503)), "unexpected answer: " << answer);
    }
    CHECK_MESSAGE(answered >= 18, "requests were not retried at the other upstream; answered: " << answered);
}

TEST_CASE("a 503 answer without the not-executed header is not forwarded as 503")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        return ScriptedReply{ScriptedUpstream::answerTo(request, 503, ""), false, false, false, {}};
    });
    const InstanceFixture fixture({&upstream});
    const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-1", "x"));
    CHECK_MESSAGE(hasStatus(answer, 502), "a request that may have run was answered: " << answer);
}

TEST_CASE("a surplus answer to an earlier request is not mistaken for the answer to a later one")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        ReceivedRequest earlier = request;
        earlier.head = "X\r\nX-Jackdawdoor-Request-Id: earlier\r\n";
        return ScriptedReply{ScriptedUpstream::answerTo(earlier, 200, "stranger") + ScriptedUpstream::answerTo(request, 200, "own"),
                             false,
                             false,
                             false,
                             {}};
    });
    const InstanceFixture fixture({&upstream});
    const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-1"));
    CHECK_MESSAGE(answer.ends_with("own"), "unexpected answer: " << answer);
}

TEST_CASE("a truncated answer never looks complete, and one without a length ends with its connection")
{
    SUBCASE("truncated")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &request) {
            std::string bytes = ScriptedUpstream::answerTo(request, 200, std::string(1000, 'x'));
            bytes.resize(bytes.size() - 1);
            return ScriptedReply{bytes, true, false, false, {}};
        });
        const InstanceFixture fixture({&upstream});
        const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-1", "x"));
        CHECK_MESSAGE(!hasStatus(answer, 200), "a truncated answer was forwarded as a success");
    }
    SUBCASE("without a length")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &request) {
            const std::string head = "HTTP/1.1 200 X\r\nX-Jackdawdoor-Response-Signature: s\r\nX-Jackdawdoor-Request-Id: "
                                     + request.header("X-Jackdawdoor-Request-Id") + "\r\n\r\n";
            return ScriptedReply{head + "whole", true, false, false, {}};
        });
        const InstanceFixture fixture({&upstream});
        const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-1"));
        CHECK_MESSAGE((hasStatus(answer, 200) && answer.ends_with("whole")), "unexpected answer: " << answer);
    }
    SUBCASE("without a length and reset")
    {
        ScriptedUpstream upstream([](const ReceivedRequest &request) {
            const std::string head = "HTTP/1.1 200 X\r\nX-Jackdawdoor-Response-Signature: s\r\nX-Jackdawdoor-Request-Id: "
                                     + request.header("X-Jackdawdoor-Request-Id") + "\r\n\r\n";
            return ScriptedReply{head + "half", false, true, false, {}};
        });
        const InstanceFixture fixture({&upstream});
        const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-1", "x"));
        CHECK_MESSAGE(!hasStatus(answer, 200), "an answer whose connection was reset was forwarded as a success");
    }
}

TEST_CASE("a request that exceeds the route's timeout is answered 504 in time")
{
    ScriptedUpstream upstream([](const ReceivedRequest &) {
        return ScriptedReply{{}, false, false, true, {}};
    });
    const InstanceFixture fixture({&upstream});
    const TimePoint begin = net::now();
    const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/slow/a", "id-1"));
    CHECK_MESSAGE(hasStatus(answer, 504), "unexpected answer: " << answer);
    CHECK_MESSAGE(net::now() - begin < std::chrono::milliseconds{300 + 250}, "the answer came later than 250 ms after the route's timeout");
}

TEST_CASE("the request at the upstream is cancelled when the caller disconnects")
{
    ScriptedUpstream upstream([](const ReceivedRequest &) {
        return ScriptedReply{{}, false, false, true, {}};
    });
    const InstanceFixture fixture({&upstream});
    {
        RawClient client(fixture.instance->callersPort());
        client.send(callerRequest("GET", "/safe/a", "id-1"));
        for (int count = 0; count < 100 && upstream.requests().empty(); ++count) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        REQUIRE(upstream.requests().size() == 1);
    }
    for (int count = 0; count < 50 && upstream.abandoned() == 0; ++count) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    CHECK_MESSAGE(upstream.abandoned() == 1, "the request was not cancelled within half a second after the caller disconnected");
}

TEST_CASE("a draining upstream gets no new request a second after its report")
{
    ScriptedUpstream leaving(healthy);
    ScriptedUpstream staying(healthy);
    InstanceFixture fixture({&leaving, &staying});
    standins::putUpstream(fixture.store, "u1", leaving.address(), 2, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    const std::size_t before = leaving.requests().size();
    for (int count = 0; count < 30; ++count) {
        sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-" + std::to_string(count)));
    }
    CHECK_MESSAGE(leaving.requests().size() == before, "a draining upstream got a request a second after its report");
}

TEST_CASE("an entry that cannot be decoded is ignored and does not affect others")
{
    ScriptedUpstream upstream(healthy);
    InstanceFixture fixture({&upstream});
    fixture.store.put("keyed.servers", "x1", "{\"address\": 7}");
    fixture.store.put("keyed.servers", "x2", "\x01\x02");
    fixture.store.put("keyed.servers",
                      "u1",
                      "{\"address\":\"10.0.0.1:1\",\"info\":{\"service\":\"svc\",\"zone\":\"dc-1\",\"slots\":\"six\"},"
                      "\"status\":{\"state\":\"ready\",\"seq-no\":9}}");
    standins::putUpstream(fixture.store, "u2", upstream.address(), 1);
    CHECK_MESSAGE(fixture.instance->waitForUpstreams(2), "the entries after those that cannot be decoded were not applied");
    CHECK(hasStatus(sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-1")), 200));
}

TEST_CASE("configuration versions only increase, and the last one stays in force during an outage of the store")
{
    ScriptedUpstream upstream(healthy);
    InstanceFixture fixture({&upstream});
    standins::putConfiguration(fixture.store, 5);
    REQUIRE(fixture.instance->waitForVersion(5));
    standins::putConfiguration(fixture.store, 3);
    std::this_thread::sleep_for(std::chrono::milliseconds{600});
    std::uint64_t version = 0;
    fixture.instance->call([&](proxy::Gateway &gateway) {
        version = gateway.configurationVersion();
    });
    CHECK_MESSAGE(version == 5, "an older version came into force: " << version);
    for (const StoreFault fault : {StoreFault::Busy, StoreFault::TooMany, StoreFault::Silent, StoreFault::LostAnswer}) {
        fixture.store.setFault(fault);
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        CHECK(hasStatus(sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "id-1")), 200));
    }
    fixture.store.setFault(StoreFault::None);
    standins::putConfiguration(fixture.store, 6);
    CHECK_MESSAGE(fixture.instance->waitForVersion(6), "the instance did not read the store again after the outage");
}

// Guards against a delay of configuration changes after an outage: a long poll that was lost in the outage blocked further
// reads until its own timeout.
TEST_CASE("a configuration written after an outage comes into force although a long poll was lost")
{
    ScriptedUpstream upstream(healthy);
    InstanceFixture fixture({&upstream});
    std::this_thread::sleep_for(std::chrono::milliseconds{600});
    fixture.store.setFault(StoreFault::Silent);
    standins::putConfiguration(fixture.store, 7); // answers the pending long poll; the next one is lost
    REQUIRE(fixture.instance->waitForVersion(7));
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    fixture.store.setFault(StoreFault::None);
    standins::putConfiguration(fixture.store, 8);
    CHECK_MESSAGE(fixture.instance->waitForVersion(8), "version 8 was not in force five seconds after the outage");
}

// Guards against excessive store calls before the first configuration: instances read the store at each tick until then.
TEST_CASE("an instance without a configuration reads the store no more often than one with it")
{
    PlatformStore store;
    const ProxyInstance instance(store);
    constexpr Duration watched = std::chrono::milliseconds{1200};
    std::this_thread::sleep_for(watched);
    // Registration, instance list and the two initial reads; then one read per period.
    const int allowed = 4 + static_cast<int>(watched / fleet::readPeriod) + 1;
    CHECK_MESSAGE(store.calls() <= allowed, "the instance made " << store.calls() << " calls");
}

TEST_CASE("after a compaction of the log the newest record of each key is read")
{
    ScriptedUpstream upstream(healthy);
    InstanceFixture fixture({&upstream});
    fixture.store.setFault(StoreFault::Busy);
    standins::putUpstream(fixture.store, "u2", upstream.address(), 1);
    fixture.store.put("keyed.servers", "u1", "");
    fixture.store.compact("keyed.servers");
    standins::putConfiguration(fixture.store, 2);
    fixture.store.compact("keyed.op");
    fixture.store.setFault(StoreFault::None);
    CHECK_MESSAGE(fixture.instance->waitForVersion(2), "the configuration after a compaction was not found");
    CHECK_MESSAGE(fixture.instance->waitForUpstreams(1), "a removal whose record was compacted away was not noticed");
}

TEST_CASE("a graceful stop finishes requests in progress and then ends")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        ScriptedReply reply = healthy(request);
        reply.delay = std::chrono::milliseconds{1500};
        return reply;
    });
    InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort());
    client.send(callerRequest("POST", "/once/a", "id-1", "order"));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    fixture.instance->beginStop();
    CHECK(hasStatus(sendAndReceive(fixture.instance->readinessPort(), "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"), 503));
    const std::string answer = client.receiveAnswer();
    CHECK_MESSAGE(hasStatus(answer, 200), "the stop aborted a request: " << answer);
    CHECK_MESSAGE(answer.find("Connection: close") != std::string::npos,
                  "the answer does not announce that the connection closes: " << answer);
    CHECK_MESSAGE(fixture.waitUntilStopped(std::chrono::seconds{6}), "the process did not end within the grace period");
}

// Guards against a process that is killed at the end of the grace period because a caller does not read its answer.
TEST_CASE("a graceful stop ends within the grace period although an answer cannot be delivered")
{
    // Answers of this size are buffered completely before forwarding; together they fill the socket buffers.
    const std::string large(700000, 'x');
    ScriptedUpstream upstream([&](const ReceivedRequest &request) {
        return ScriptedReply{ScriptedUpstream::answerTo(request, 200, large), false, false, false, {}};
    });
    InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort());
    for (int count = 0; count < 30; ++count) {
        client.send(callerRequest("GET", "/safe/a", "id-" + std::to_string(count)));
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    const TimePoint began = net::now();
    fixture.instance->beginStop();
    while (!fixture.instance->stopped() && net::now() - began < std::chrono::seconds{8}) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const Duration stopGracePeriod = proxy::ProxySettings{}.stopGracePeriod;
    CHECK_MESSAGE(net::now() - began < stopGracePeriod, "the process was still running at the end of the grace period");
}

TEST_CASE("the directory returns the address of this instance while it is ready")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    const std::string request = "GET /v1/resolve?name=h.example&region=r&zone=dc-1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string answer = sendAndReceive(fixture.instance->directoryPort(), request);
    CHECK_MESSAGE(answer.find("127.0.0.1:" + std::to_string(fixture.instance->callersPort())) != std::string::npos,
                  "unexpected answer: " << answer);
}

// Guards against two answers to one request: a hedged attempt ended while the other attempt's large answer was streamed.
TEST_CASE("a hedged attempt that ends while a large answer is streamed does not corrupt it")
{
    const std::string large(2000000, 'x');
    std::atomic<int> asked{0};
    const auto script = [&](const ReceivedRequest &request) {
        if (request.head.find("/safe/large") == std::string::npos || asked++ > 0) {
            ScriptedReply reply = healthy(request);
            reply.delay = std::chrono::milliseconds{request.head.find("/safe/large") == std::string::npos ? 0 : 600};
            return reply;
        }
        // The head and more than the buffer limit arrive at 900 ms, after the hedged attempt started, and the rest long after its
        // answer.
        const std::string bytes = ScriptedUpstream::answerTo(request, 200, large);
        return ScriptedReply{bytes.substr(0, 1500000),
                             false,
                             false,
                             false,
                             std::chrono::milliseconds{900},
                             bytes.substr(1500000),
                             std::chrono::milliseconds{1200}};
    };
    ScriptedUpstream first(script);
    ScriptedUpstream second(script);
    const InstanceFixture fixture({&first, &second});
    for (int count = 0; count < 16; ++count) {
        CHECK(hasStatus(sendAndReceive(fixture.instance->callersPort(), callerRequest("GET", "/safe/a", "early-" + std::to_string(count))),
                        200));
    }
    RawClient client(fixture.instance->callersPort(), 1500);
    client.send(callerRequest("GET", "/safe/large", "id-1"));
    const std::string answer = client.receiveAll();
    CHECK_MESSAGE(asked == 2, "the request was not hedged, so the test is void: " << asked.load());
    const std::size_t head = answer.find("\r\n\r\n");
    REQUIRE(head != std::string::npos);
    CHECK_MESSAGE(answer.substr(head + 4) == large, "the body has " << answer.size() - head - 4 << " bytes and is not the upstream's");
}

TEST_CASE("size limits and framing of requests")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    const int port = fixture.instance->callersPort();
    const std::string longValue(20000, 'x');
    CHECK_MESSAGE(hasStatus(sendAndReceive(port, "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Long: " + longValue + "\r\n\r\n"), 431),
                  "a header beyond the operator's limit was accepted");
    CHECK_MESSAGE(
        hasStatus(sendAndReceive(
                      port, "POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                  400),
        "a request with Content-Length and Transfer-Encoding was accepted");
    std::string upgrade = callerRequest("GET", "/safe/a", "id-1");
    upgrade.insert(upgrade.size() - 2, "Upgrade: h2c\r\nConnection: Upgrade\r\n");
    CHECK_MESSAGE(hasStatus(sendAndReceive(port, upgrade), 200), "a protocol upgrade was not ignored");
    CHECK(upstream.requests().size() == 1);
}

// Guards against request smuggling: the parser took "Transfer-Encoding : chunked" for framing and forwarded it as a header.
TEST_CASE("a request whose header name ends with a space is rejected and reaches no upstream")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    for (const char *fields : {"Transfer-Encoding : chunked\r\n", "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n", "X-A : b\r\n"}) {
        RawClient client(fixture.instance->callersPort());
        client.send(std::string("POST /once/a HTTP/1.1\r\nHost: h.example\r\n") + fields + "\r\n0\r\n\r\n");
        CHECK_MESSAGE(hasStatus(client.receiveAll(), 400), "the request was accepted with " << fields);
        CHECK_MESSAGE(client.end() != RawClient::End::Open, "the connection stayed open");
    }
    CHECK(upstream.requests().empty());
}

TEST_CASE("an excessive deadline is ignored, and a request with an expired deadline is not forwarded")
{
    ScriptedUpstream upstream(healthy);
    const InstanceFixture fixture({&upstream});
    std::string request = callerRequest("GET", "/safe/a", "id-1");
    request.replace(request.find("4000"), 4, "18446744073709551615");
    CHECK_MESSAGE(hasStatus(sendAndReceive(fixture.instance->callersPort(), request), 200), "an excessive deadline ended the request");
    const std::string answer = sendAndReceive(fixture.instance->callersPort(), callerRequest("POST", "/once/a", "id-2", "x", 1));
    CHECK_MESSAGE(hasStatus(answer, 503), "a request with an expired deadline was answered: " << answer);
    CHECK_MESSAGE(upstream.requests().size() == 1, "a request with an expired deadline reached an upstream");
}
