/** Two instances with the real core and stand-ins for the platform: publish a contract, read, order, resend the order. */
#include "cli/publishcommand.h"
#include "configuration/logrecord.h"
#include "net/instancecore.h"
#include "net/server.h"
#include "standins/instancelist.h"
#include "standins/logservice.h"
#include "standins/rawclient.h"
#include "standins/upstream.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace jackdawdoor;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** Target of docs/design.md for the propagation of a change to all instances while the log is available. */
constexpr int propagationSeconds = 5;

std::string bodyOf(const std::string &answer)
{
    return answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
}

std::string askInstance(const net::Server &server, const std::string &line, const std::string &headers = {}, const std::string &body = {})
{
    const std::string length = body.empty() ? std::string{} : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string head = line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + length + headers + "\r\n";
    return standins::exchangeRaw(server.callers().port, head + body);
}

/** Platform, two upstreams and two instances. */
struct Fleet {
    Fleet()
        : first(settings("first"))
        , second(settings("second"))
    {
    }

    settings::Settings settings(const std::string &name) const
    {
        return settings::SettingsBuilder()
            .identity(name, "north-1")
            .listen({"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0})
            .platform(log.server().url(), list.server().url() + "/instances")
            .fleetKey("0123456789abcdef")
            .build()
            .value();
    }

    std::string contract(const std::string &largestAnswer) const
    {
        json upstreams = json::array();
        for (const standins::Upstream *upstream : {&one, &two}) {
            const std::string address = upstream->server().address();
            upstreams.push_back({{"name", "u" + std::to_string(upstream->server().port())},
                                 {"address", address},
                                 {"dataCentre", "north-1"},
                                 {"slots", 6},
                                 {"connections", 400}});
        }
        json read = {{"name", "read"}, {"method", "GET"}, {"pathPrefix", "/claims"}, {"idempotent", true}, {"usefulWithin", "3s"}};
        json pay = {{"name", "pay"}, {"method", "POST"}, {"pathPrefix", "/payments"}, {"idempotent", false}, {"usefulWithin", "5s"}};
        for (json *operation : {&read, &pay}) {
            (*operation)["largestRequest"] = "8KiB";
            (*operation)["largestAnswer"] = largestAnswer;
        }
        const json service = {{"name", "claims"},
                              {"peakRequestsPerSecond", 50},
                              {"healthyFloor", 1},
                              {"upstreams", upstreams},
                              {"operations", json::array({read, pay})}};
        return json{{"customer", "norte"}, {"weight", "false-ejections"}, {"services", json::array({service})}}.dump();
    }

    void start()
    {
        for (net::Server *server : {&first, &second}) {
            REQUIRE(server->start(net::makeInstanceCore).has_value());
        }
        list.set("first", first.peers().text(), "north-1", "live");
        list.set("second", second.peers().text(), "north-1", "live");
    }

    /** Waits until the condition holds; false after 15 s, three polls of the instance list. */
    template <typename Condition>
    static bool eventually(Condition condition)
    {
        for (int round = 0; round < 300; ++round) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    json place() const
    {
        const std::string answer = askInstance(first, "GET /v1/place?customer=norte&service=claims&caller=office-1");
        return json::parse(bodyOf(answer), nullptr, false);
    }

    standins::LogService log;
    standins::InstanceList list;
    standins::Upstream one;
    standins::Upstream two;
    net::Server first;
    net::Server second;
};

} // namespace

// Guards against components that work alone but not together: formats, addresses, tickets, forwarding.
TEST_CASE("a published contract is served, and a resent order runs once")
{
    Fleet fleet;
    // More records than fit into a page, with the contract after the first page: a reader that stops there does not find it.
    for (int record = 0; record < 1500; ++record) {
        fleet.log.append("not a record");
    }
    fleet.log.append(configuration::encodeRecord(configuration::Publish{CustomerId{"norte"}, "p1", 0, fleet.contract("64KiB")}));
    for (int record = 0; record < 1500; ++record) {
        fleet.log.append("not a record");
    }
    fleet.start();
    REQUIRE_MESSAGE(Fleet::eventually([&] {
                        const json place = fleet.place();
                        return place.is_object() && place.contains("addresses") && place["addresses"].size() == 2
                               && !place["ticket"].get<std::string>().empty();
                    }),
                    "the instances did not find the contract and each other");

    const auto file = std::filesystem::temp_directory_path() / ("jackdawdoor-endtoend-" + std::to_string(getpid()) + ".json");
    std::ofstream(file) << fleet.contract("128KiB");
    cli::PublishOptions options;
    options.file = file.string();
    options.instanceUrl = "http://" + fleet.first.operators().text();
    options.logUrl = fleet.log.server().url();
    options.waitSeconds = propagationSeconds;
    options.fleet = {options.instanceUrl, "http://" + fleet.second.operators().text()};
    fleet.log.loseAcknowledgements(1);
    const std::uint64_t recordsBefore = fleet.log.size();
    std::ostringstream out;
    std::ostringstream err;
    const int published = cli::runPublish(options, out, err);
    std::filesystem::remove(file);
    CHECK_MESSAGE(published == 0, "the change is not in force on both instances in time: " << out.str() << err.str());
    CHECK_MESSAGE(out.str().find("accepted as version " + std::to_string(recordsBefore + 1)) != std::string::npos,
                  "a lost acknowledgement was not found in the log: " << out.str());

    const std::string read = askInstance(fleet.first, "GET /norte/claims/claims/7?bytes=1000");
    CHECK_MESSAGE(bodyOf(read) == standins::Upstream::bodyBytes(0, 1000), "a read was not answered: " << read);

    const std::string key = fleet.place()["ticket"].get<std::string>() + ".payment-1";
    const std::string headers = "Idempotency-Key: " + key + "\r\nContent-Type: application/json\r\n";
    const std::string paid = askInstance(fleet.first, "POST /norte/claims/payments", headers, R"({"euros":250})");
    CHECK_MESSAGE(paid.starts_with("HTTP/1.1 200"), "an order was not answered: " << paid);
    // Repeated because a short answer may end on the link between the instances before the other one has processed its head.
    for (int resend = 0; resend < 50; ++resend) {
        const std::string again = askInstance(fleet.second, "POST /norte/claims/payments", headers, R"({"euros":250})");
        REQUIRE_MESSAGE(bodyOf(again) == bodyOf(paid), "resend " << resend << " got another answer: " << again);
    }
    CHECK_MESSAGE(fleet.one.runs(key) + fleet.two.runs(key) == 1, "the order did not run exactly once");
    const std::string outcome = askInstance(fleet.second, "GET /v1/outcome?key=" + key);
    CHECK_MESSAGE(bodyOf(outcome) == bodyOf(paid), "the outcome is not the order's answer: " << outcome);

    // A shutdown that still waits for the forwarded request above would take more than a minute.
    for (net::Server *server : {&fleet.second, &fleet.first}) {
        server->beginStop();
        CHECK_MESSAGE(Fleet::eventually([&] {
                          return server->stopped();
                      }),
                      "a graceful shutdown without requests in progress does not end");
    }
}
