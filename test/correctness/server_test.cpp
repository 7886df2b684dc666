/** One instance on loopback, with a scripted core and stand-ins for the platform. */
#include "net/server.h"
#include "standins/instancelist.h"
#include "standins/logservice.h"
#include "standins/rawclient.h"
#include "standins/scriptedcore.h"
#include "standins/upstream.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace jackdawdoor;
using namespace std::chrono_literals;
using standins::RawClient;

namespace {

/** Platform, one upstream and one instance. */
struct Fixture {
    explicit Fixture(const std::string &name = "home")
        : server(settings::SettingsBuilder()
                     .identity(name, "north-1")
                     .listen({"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0})
                     .platform(log.server().url(), list.server().url() + "/instances")
                     .fleetKey("0123456789abcdef")
                     .build()
                     .value())
    {
        script->upstreams["c/s"] = upstream.server().address();
    }

    void start()
    {
        const auto started = server.start([this](const net::CoreIdentity &identity) {
            return std::make_unique<standins::ScriptedCore>(script, identity);
        });
        REQUIRE(started.has_value());
    }

    std::string get(const std::string &target, const std::string &headers = {}) const
    {
        const std::string text = "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n";
        return standins::exchangeRaw(server.callers().port, text);
    }

    standins::LogService log;
    standins::InstanceList list;
    standins::Upstream upstream;
    std::shared_ptr<standins::CoreScript> script = std::make_shared<standins::CoreScript>();
    net::Server server;
};

std::string bodyOf(const std::string &answer)
{
    return answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
}

} // namespace

TEST_CASE("a request reaches its upstream without customer and service, and its answer comes back")
{
    Fixture one;
    one.start();
    const std::string answer = one.get("/c/s/claims/7?x=1&bytes=1000", "Idempotency-Key: k1\r\nX-Deadline-Ms: 900\r\n");
    CHECK_MESSAGE(answer.find("X-Echo-Target: /claims/7?x=1&bytes=1000\r\n") != std::string::npos, "the upstream got another target");
    CHECK_MESSAGE(bodyOf(answer) == standins::Upstream::bodyBytes(0, 1000), "the answer was changed");
    CHECK_MESSAGE(one.script->saw("GET /claims/7 key=k1"), "the core did not get the head of the request");
    CHECK_MESSAGE(one.upstream.runs("k1") == 1, "the key did not reach the upstream");
}

TEST_CASE("refusals carry disposition, stage and hint as JSON and as Retry-After")
{
    Fixture one;
    one.start();
    const std::string answer = one.get("/c/unknown/x");
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 404"), "the refusal's status was changed");
    CHECK_MESSAGE(answer.find("Retry-After: 2\r\n") != std::string::npos, "Retry-After is missing or earlier than the hint");
    const auto json = nlohmann::json::parse(bodyOf(answer));
    const auto expected = nlohmann::json::parse(
        R"({"disposition":"not-run","stage":"no-contract","waiting_helps":false,"retry_after_ms":1500,"reason":"scripted"})");
    CHECK_MESSAGE(json == expected, "the refusal has other fields");
}

TEST_CASE("paths that an upstream could read as another operation are refused")
{
    Fixture one;
    one.start();
    for (const char *path :
         {"/c/s/read/../pay", "/c/s/./pay", "/c/s//pay", "/c/s/read%2f..%2Fpay", "/c/s/%2E%2e/pay", "/c/s/a\\b", "/c", "/c/"}) {
        CHECK_MESSAGE(one.get(path).starts_with("HTTP/1.1 400"), "accepted: " << path);
    }
    CHECK_MESSAGE(one.get("/c/s/x", "X-Deadline-Ms: soon\r\n").starts_with("HTTP/1.1 400"), "a deadline that is not a number was ignored");
    CHECK_MESSAGE(one.upstream.runs() == 0, "a refused request reached the upstream");
}

TEST_CASE("control queries of callers and operators' pages are answered")
{
    Fixture one;
    one.start();
    CHECK(bodyOf(one.get("/v1/place?customer=c&service=s&caller=office%207")) == R"({"service":"c/s","caller":"office 7"})");
    const std::string outcome = one.get("/v1/outcome?key=k9");
    CHECK_MESSAGE(outcome.starts_with("HTTP/1.1 201"), "a stored outcome lost its status");
    CHECK_MESSAGE(bodyOf(outcome) == "outcome of k9", "a stored outcome lost its body");
    one.get("/c/s/x");
    one.get("/invented/s/x");
    const auto operators = [&](const std::string &path) {
        return standins::exchangeRaw(one.server.operators().port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    };
    CHECK(bodyOf(operators("/v1/status")) == R"({"instance":"home"})");
    CHECK(operators("/readyz").starts_with("HTTP/1.1 200"));
    const std::string metrics = operators("/metrics");
    CHECK_MESSAGE(metrics.find(R"(jackdawdoor_requests_total{customer="c",operation="c/s",result="answered"} 1)") != std::string::npos,
                  "an answered request is not counted");
    CHECK_MESSAGE(metrics.find("invented") == std::string::npos, "a caller can invent metric labels");
}

TEST_CASE("the platform's log and list reach the core, and messages reach other instances")
{
    Fixture one("one");
    Fixture other("other");
    one.log.loseAcknowledgements(1);
    other.start();
    one.list.set("other", other.server.peers().text(), "north-1", "leaving");
    one.start();
    CHECK_MESSAGE(one.script->saw("lost record by one"), "a lost acknowledgement was reported as an append");
    CHECK_MESSAGE(one.script->saw("log 0: record by one"), "a record in the log did not reach the core");
    CHECK_MESSAGE(one.script->saw("listed other leaving"), "the instance list did not reach the core");
    CHECK_MESSAGE(other.script->saw("message from one: hello"), "a message did not reach the other instance");
}

TEST_CASE("a request is forwarded to its home instance, whose answer is relayed")
{
    Fixture front("front");
    Fixture home("home");
    home.start();
    front.script->homes["c/s"] = home.server.peers().text();
    front.start();
    const std::string answer = front.get("/c/s/pay?bytes=700000", "Idempotency-Key: k2\r\n");
    CHECK_MESSAGE(bodyOf(answer) == standins::Upstream::bodyBytes(0, 700000), "a forwarded answer was changed");
    CHECK_MESSAGE(home.script->saw("GET /pay key=k2 forwarded"), "the request is not marked as forwarded at the home instance");
    CHECK_MESSAGE(front.upstream.runs() == 0, "the request ran at the instance that forwarded it");
    home.upstream.behave({standins::Fault::Short, {}, 64, 100});
    CHECK_MESSAGE(bodyOf(front.get("/c/s/pay?bytes=700000")).size() < 700000, "a truncated body was presented as complete");
}

TEST_CASE("a graceful shutdown finishes a download in progress")
{
    constexpr std::size_t size = std::size_t{16} * 1024 * 1024;
    Fixture one;
    one.start();
    RawClient client(one.server.callers().port);
    client.send("GET /c/s/x?bytes=" + std::to_string(size) + " HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string first = client.receive(1000);
    one.server.beginStop();
    std::this_thread::sleep_for(300ms);
    CHECK_MESSAGE(!one.server.stopped(), "the shutdown did not wait for a download in progress");
    const std::size_t whole = first.find("\r\n\r\n") + 4 + size;
    const std::size_t received = first.size() + client.receive(whole - first.size()).size();
    CHECK_MESSAGE(received == whole, "a graceful shutdown truncated a download");
    for (int round = 0; round < 300 && !one.server.stopped(); ++round) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK_MESSAGE(one.server.stopped(), "the shutdown did not end after the last request");
}
