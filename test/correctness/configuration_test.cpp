/** Configuration of several instances in virtual time: propagation, log outages, retention, restarts. */
#include "correctness/configurationfleet.h"

#include <doctest/doctest.h>

using namespace jackdawdoor;
using namespace jackdawdoor::configuration;
using jackdawdoor::test::ConfigurationFleet;
using namespace std::chrono_literals;

TEST_CASE("a publish is in force at p99 within 5 s, and everywhere within 15 s, also through peers only")
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ConfigurationFleet fleet{seed, 48, 24h};
        fleet.lossPercent = 5;
        for (int customer = 0; customer < 20; ++customer) {
            fleet.publish("customer" + std::to_string(customer), "ok" + std::string(2000, 'x'));
        }
        fleet.run(15s);
        CHECK_MESSAGE(fleet.allAgree(), "a starting fleet did not read the log in 15 s");
        const std::uint64_t before = fleet.processes[1].bytesSent;
        fleet.run(60s);
        // Configuration is one of several modules that share 2 KB/s.
        CHECK_MESSAGE(fleet.processes[1].bytesSent - before < 60 * 256, "digests of equal tables cost over 256 bytes a second");

        for (int round = 0; round < 10; ++round) {
            fleet.publish("customer" + std::to_string(round), round == 3 ? std::nullopt : std::optional<std::string>{"oknew"});
            fleet.run(5s);
            late += 48 - fleet.agreeing();
            fleet.run(10s);
            CHECK_MESSAGE(fleet.allAgree(), "a publish was not in force everywhere in 15 s");
        }
        for (std::size_t index = 1; index < 48; ++index) {
            fleet.processes[index].hasLog = false;
        }
        fleet.publish("customer7", "okpeers");
        fleet.run(15s);
        CHECK_MESSAGE(fleet.allAgree(), "a publish did not spread through peers in 15 s");
    }
    // 5 fleets, 10 publishes each, 48 instances.
    CHECK_MESSAGE(late <= 5 * 10 * 48 / 100, late << " of 2400 instances had a publish in force only after 5 s");
}

TEST_CASE("large contracts reach a starting instance without log access, in bounded messages")
{
    ConfigurationFleet fleet{1, 6, 24h};
    for (int customer = 0; customer < 30; ++customer) {
        fleet.publish("customer" + std::to_string(customer), "ok" + std::string(100'000, 'x'));
    }
    fleet.run(20s);
    fleet.logUp = false;
    fleet.replace(2);
    CHECK_MESSAGE(!fleet.processes[2].configuration->ready(), "an instance without a contract reports that it is ready");
    fleet.run(30s);
    CHECK_MESSAGE(fleet.processes[2].configuration->ready(), "an instance got no contract from its peers while the log was down");
    CHECK_MESSAGE(fleet.allAgree(), "an instance did not get all large contracts from its peers in 30 s");
    CHECK_MESSAGE(fleet.processes[2].configuration->completeAsOf() > 0, "the instance does not report its table as complete");
}

TEST_CASE("contracts survive the expiry of their records, instance restarts, log outages and a restart of the whole fleet")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        ConfigurationFleet fleet{seed, 6, 2h};
        for (int customer = 0; customer < 5; ++customer) {
            fleet.publish("customer" + std::to_string(customer), "ok");
        }
        fleet.run(1min);
        fleet.publish("customer1", std::nullopt);
        for (int part = 0; part < 60; ++part) {
            fleet.replace(random() % 6);
            fleet.logUp = part % 20 < 14 || part % 20 > 17;
            if (random() % 10 == 0 && fleet.logUp) {
                fleet.publish("customer" + std::to_string(random() % 8), "ok" + std::to_string(part));
            }
            fleet.run(5min);
            REQUIRE_MESSAGE(fleet.allAgree(), "an instance has wrong versions after part " << part);
        }
        CHECK_MESSAGE(fleet.firstRetained() > 20, "records did not expire, so nothing was tested");
        fleet.logUp = true;
        fleet.run(30min);
        for (std::size_t index = 0; index < 6; ++index) {
            fleet.replace(index);
        }
        fleet.run(1min);
        CHECK_MESSAGE(fleet.allAgree(), "after a restart of the whole fleet a contract is lost or a deleted one is back");
        fleet.publish("created-after-restart", "ok");
        fleet.run(1min);
        CHECK_MESSAGE(fleet.allAgree(), "after a restart of the whole fleet a new customer can't be created");
    }
}
