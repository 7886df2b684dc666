/** Fleet-wide quotas of organisations: the bound over all instances, fairness, faults of links and processes, forged reports. */
#include "quotafleet.h"

#include <doctest/doctest.h>

using namespace jackdawdoor;
using namespace jackdawdoor::limits;
using jackdawdoor::test::QuotaDemand;
using jackdawdoor::test::QuotaFleet;
using jackdawdoor::test::QuotaStep;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t organisation = 1;
constexpr QuotaLimit usualLimit{172, 172};
constexpr std::size_t fleetSize = 108;

std::vector<std::size_t> firstInstances(std::size_t count, std::size_t begin = 0)
{
    std::vector<std::size_t> instances;
    for (std::size_t index = begin; index < begin + count; ++index) {
        instances.push_back(index);
    }
    return instances;
}

/** Instances that one host's callers use: four in each of three data centres. */
std::vector<std::size_t> hostInstances()
{
    std::vector<std::size_t> instances;
    for (const std::size_t begin : {0, 36, 72}) {
        for (const std::size_t index : firstInstances(4, begin)) {
            instances.push_back(index);
        }
    }
    return instances;
}

QuotaDemand steadyDemand(std::vector<std::size_t> instances, double requestsPerSecond, std::uint64_t key = organisation)
{
    return {key, std::move(instances), [requestsPerSecond](Duration) {
                return requestsPerSecond;
            }};
}

QuotaDemand demandFrom(std::vector<std::size_t> instances, Duration begin, double before, double after)
{
    return {organisation, std::move(instances), [=](Duration time) {
                return time < begin ? before : after;
            }};
}

} // namespace

TEST_CASE("An organisation at ten times its quota stays within the bound at 1, 12 and 108 instances")
{
    // Guards against instances that each admit the whole quota before they know of each other.
    for (const QuotaLimit limit : {usualLimit, QuotaLimit{172, 0}, QuotaLimit{2, 2}, QuotaLimit{1000, 500}}) {
        for (const auto &instances : {firstInstances(1), hostInstances(), firstInstances(fleetSize)}) {
            for (const double before : {0.0, 0.9}) {
                QuotaFleet fleet(instances.size(), fleetSize);
                fleet.limits[organisation] = limit;
                const double rate = limit.requestsPerSecond;
                fleet.play(seconds{12}, {demandFrom(instances, seconds{3}, rate * before, rate * 10)});
                const double worst = fleet.worstWindow(organisation, limit);
                const double used = fleet.total(organisation, seconds{5}, seconds{12}).admitted / (rate * 7);
                MESSAGE("rate " << rate << " burst " << limit.burst << " at " << instances.size() << " instances, before " << before
                                << ": worst window " << worst << " of the bound, used " << used);
                CHECK(worst <= 1.0);
                CHECK(used >= 0.9);
            }
        }
    }
}

TEST_CASE("A demand below the quota is admitted to 99 in 100 when nothing is cut")
{
    for (const QuotaLimit limit : {usualLimit, QuotaLimit{172, 0}, QuotaLimit{20, 20}}) {
        for (const auto &instances : {firstInstances(1), hostInstances(), firstInstances(fleetSize)}) {
            QuotaFleet fleet(7, fleetSize);
            fleet.limits[organisation] = limit;
            fleet.play(seconds{2}, {}); // the buckets of a fleet that starts are empty
            fleet.play(seconds{10}, {steadyDemand(instances, limit.requestsPerSecond * 0.9)});
            const double part = fleet.admittedPart(organisation, seconds{2}, seconds{12});
            MESSAGE("rate " << limit.requestsPerSecond << " burst " << limit.burst << " at " << instances.size() << " instances: admitted "
                            << part);
            CHECK(part >= 0.99);
        }
    }
}

TEST_CASE("Two halves that cannot reach each other stay within the bound together")
{
    // Guards against each half of a split fleet admitting the whole quota.
    for (const auto &instances : {hostInstances(), firstInstances(fleetSize)}) {
        for (const double factor : {0.9, 10.0}) {
            QuotaFleet fleet(3, fleetSize);
            fleet.limits[organisation] = usualLimit;
            bool split = false;
            fleet.cut = [&split](std::size_t from, std::size_t to) {
                return split && (from % 2 == 0) != (to % 2 == 0);
            };
            const QuotaDemand demand = steadyDemand(instances, usualLimit.requestsPerSecond * factor);
            fleet.play(seconds{6}, {demand});
            split = true;
            fleet.play(seconds{8}, {demand});
            split = false;
            fleet.play(seconds{10}, {demand});
            const double cutPart = fleet.admittedPart(organisation, seconds{7}, seconds{14});
            const QuotaStep healed = fleet.total(organisation, seconds{16}, seconds{24});
            const double possible = factor > 1 ? usualLimit.requestsPerSecond * 8 : healed.asked;
            const double after = healed.admitted / possible;
            MESSAGE("demand " << factor << " of the quota at " << instances.size() << " instances: worst window "
                              << fleet.worstWindow(organisation, usualLimit) << ", admitted while halves are cut " << cutPart
                              << ", used afterwards " << after);
            CHECK(fleet.worstWindow(organisation, usualLimit) <= 1.0);
            CHECK(after >= (factor > 1 ? 0.9 : 0.99));
        }
    }
}

TEST_CASE("Instances that are cut off alone do not admit the whole quota each")
{
    QuotaFleet fleet(4, fleetSize);
    fleet.limits[organisation] = usualLimit;
    bool isolated = false;
    fleet.cut = [&isolated](std::size_t from, std::size_t to) {
        return isolated && (from < 4 || to < 4);
    };
    const QuotaDemand demand = steadyDemand(hostInstances(), usualLimit.requestsPerSecond * 10);
    fleet.play(seconds{6}, {demand, steadyDemand(firstInstances(fleetSize), 200, 2)});
    isolated = true;
    fleet.play(seconds{8}, {demand, steadyDemand(firstInstances(fleetSize), 200, 2)});
    MESSAGE("worst window " << fleet.worstWindow(organisation, usualLimit));
    CHECK(fleet.worstWindow(organisation, usualLimit) <= 1.0);
}

TEST_CASE("Kills, restarts and pauses of instances do not add to the quota")
{
    // Guards against a full bucket after each start, and against a pause that adds more than the burst.
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        QuotaFleet fleet(seed, fleetSize);
        fleet.limits[organisation] = usualLimit;
        const auto instances = seed == 1 ? hostInstances() : firstInstances(fleetSize);
        const QuotaDemand demand = steadyDemand(instances, usualLimit.requestsPerSecond * 10);
        fleet.play(seconds{3}, {demand});
        for (int round = 0; round < 30; ++round) {
            fleet.restart(instances[fleet.random()() % instances.size()]);
            fleet.pause(instances[fleet.random()() % instances.size()], milliseconds{fleet.random()() % 3000});
            fleet.play(milliseconds{400}, {demand});
        }
        const double used = fleet.total(organisation, seconds{5}, seconds{15}).admitted / (usualLimit.requestsPerSecond * 10);
        MESSAGE("worst window " << fleet.worstWindow(organisation, usualLimit) << ", used " << used);
        CHECK(fleet.worstWindow(organisation, usualLimit) <= 1.0);
        CHECK(used >= 0.7);
    }
}

TEST_CASE("A restarted instance takes its part again while the organisation is over its quota")
{
    // Guards against an instance whose empty bucket never fills, because the others use all that is refilled.
    QuotaFleet fleet(5, 12);
    fleet.limits[organisation] = usualLimit;
    const QuotaDemand demand = steadyDemand(firstInstances(12), usualLimit.requestsPerSecond * 3);
    fleet.play(seconds{5}, {demand});
    fleet.restart(0);
    const int before = fleet.admittedAt(0);
    fleet.play(seconds{10}, {demand});
    const double part = (fleet.admittedAt(0) - before) / (usualLimit.requestsPerSecond * 10 / 12);
    MESSAGE("the restarted instance admits " << part << " of an equal part");
    CHECK(part > 0.6);
    CHECK(part < 1.4);
}

TEST_CASE("Organisations within their quota are not affected by one at ten times its quota")
{
    QuotaFleet fleet(6, fleetSize);
    std::vector<QuotaDemand> demands;
    constexpr std::uint64_t organisations = 20;
    for (std::uint64_t key = 1; key <= organisations; ++key) {
        fleet.limits[key] = {40, 40};
        demands.push_back(steadyDemand(key % 2 == 0 ? hostInstances() : firstInstances(fleetSize), key == 1 ? 400 : 36, key));
    }
    fleet.play(seconds{2}, {}); // the buckets of a fleet that starts are empty
    fleet.play(seconds{10}, demands);
    for (std::uint64_t key = 2; key <= organisations; ++key) {
        CHECK(fleet.admittedPart(key, seconds{2}, seconds{12}) >= 0.99);
    }
    CHECK(fleet.worstWindow(1, fleet.limits[1]) <= 1.0);
}

TEST_CASE("A lower limit binds one window after all instances have it, and a higher one is used")
{
    QuotaFleet fleet(8, fleetSize);
    fleet.limits[organisation] = usualLimit;
    const QuotaDemand demand = steadyDemand(hostInstances(), 1720);
    fleet.play(seconds{6}, {demand});
    const QuotaLimit lower{20, 5};
    fleet.limits[organisation] = lower;
    fleet.play(seconds{12}, {demand});
    CHECK(fleet.worstWindow(organisation, lower, seconds{11}) <= 1.0);
    fleet.limits[organisation] = usualLimit;
    fleet.play(seconds{8}, {demand});
    CHECK(fleet.total(organisation, seconds{20}, seconds{26}).admitted >= 0.9 * 6 * 172);
    CHECK(fleet.worstWindow(organisation, usualLimit) <= 1.0);
}

TEST_CASE("A restarted instance does not refuse an organisation within its quota")
{
    // Guards against an empty bucket that fills slowly while the others have tokens.
    QuotaFleet fleet(9, 12);
    fleet.limits[organisation] = usualLimit;
    const QuotaDemand demand = steadyDemand(firstInstances(12), usualLimit.requestsPerSecond * 0.9);
    fleet.play(seconds{3}, {demand});
    for (std::size_t index = 0; index < 12; ++index) {
        fleet.restart(index);
        fleet.play(seconds{1}, {demand});
    }
    CHECK(fleet.admittedPart(organisation, seconds{3}, seconds{15}) >= 0.99);
}
