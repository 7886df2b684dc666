/** Guards against false ejections, and checks the healthy floor, probation and fleet-wide ejections. */
#include "simulatedservice.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace jackdawdoor;
using namespace jackdawdoor::test;
using contract::Weight;
using health::AttemptKind;
using health::OutcomeKind;

namespace {

TimePoint at(double seconds)
{
    return TimePoint{} + fromSeconds(seconds);
}

/** Records of a run: ordinary requests per upstream and health changes. */
struct Log {
    std::map<std::size_t, int> ordinary;
    std::vector<std::pair<TimePoint, health::HealthChange>> changes;
    std::set<std::size_t> ejectingHolders;

    void attach(SimulatedService &service)
    {
        service.onDispatch = [this](TimePoint, std::size_t, std::size_t upstream, AttemptKind kind) {
            ordinary[upstream] += kind == AttemptKind::Ordinary ? 1 : 0;
        };
        service.onChange = [this](TimePoint now, std::size_t holder, const health::HealthChange &change) {
            changes.emplace_back(now, change);
            if (change.change == "eject") {
                ejectingHolders.insert(holder);
            }
        };
    }
    int count(const std::string &kind) const
    {
        return static_cast<int>(std::count_if(changes.begin(), changes.end(), [&kind](const auto &item) {
            return item.second.change == kind;
        }));
    }
};

/** Simulates a service in which a fault begins after 10 s, and returns the records of the seconds after it. */
Log runFault(int upstreams,
             double rate,
             std::uint64_t seed,
             const Behaviour &fault,
             const std::set<std::size_t> &faulty,
             double seconds = 10,
             int holders = 1)
{
    SimulatedService service{servicePolicy(upstreams, Weight::DetectionTime), holders, rate, seed};
    service.behaviour = [&](TimePoint now, std::size_t, std::size_t upstream) {
        return now >= at(10) && faulty.count(upstream) > 0 ? fault : Behaviour{};
    };
    service.runUntil(at(10));
    Log log;
    log.attach(service);
    service.runUntil(at(10 + seconds));
    return log;
}

const std::set<std::size_t> all{0, 1, 2, 3, 4, 5, 6, 7};

} // namespace

TEST_CASE("a service that is slow, failing or shedding as a whole is overloaded, and nothing is ejected")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        for (const double rate : {20.0, 60.0, 200.0}) {
            for (const auto &fault : {Behaviour{.slowness = 3},
                                      Behaviour{.slowness = 10},
                                      Behaviour{.errorRate = 0.3},
                                      Behaviour{.errorRate = 1},
                                      Behaviour{.shed = true}}) {
                const auto log = runFault(8, rate, seed, fault, all, 5);
                CHECK_MESSAGE(log.count("eject") == 0,
                              "overload ejected " << log.count("eject") << ": slowness " << fault.slowness << ", errors " << fault.errorRate
                                                  << ", rate " << rate << ", seed " << seed);
            }
        }
    }
}

TEST_CASE("shed responses are load: one shedding upstream is not ejected and gets less work")
{
    const auto log = runFault(8, 200, 1, {.shed = true}, {2});
    CHECK_MESSAGE(log.count("eject") == 0, "a shedding upstream was ejected");
    CHECK_MESSAGE(log.ordinary.at(2) < 200 * 10 / 8, "a shedding upstream attracted more than its share of work");
}

TEST_CASE("every kind of failure ejects, and failing fast attracts no load")
{
    for (const auto failure : {OutcomeKind::Error, OutcomeKind::WrongAnswer, OutcomeKind::ShortBody, OutcomeKind::ConnectFailed}) {
        const auto log = runFault(8, 200, 2, {.errorRate = 1, .failure = failure}, {2}, 4);
        CHECK_MESSAGE(log.count("eject") == 1, "a failing upstream was not ejected: outcome " << int(failure));
    }
    // Without an ejection: three in ten requests fail, in a twentieth of the normal time.
    auto policy = servicePolicy(8, Weight::DetectionTime);
    policy.health.ejectionThreshold = 1e9;
    SimulatedService service{policy, 1, 200, 3};
    service.behaviour = [](TimePoint, std::size_t, std::size_t upstream) {
        return Behaviour{.errorRate = upstream == 2 ? 0.3 : 0.002};
    };
    service.idempotentShare = 0; // no checks, which are sent there on purpose
    Log log;
    log.attach(service);
    service.runUntil(at(30));
    CHECK_MESSAGE(log.ordinary[2] < 200 * 30 / 8, "an upstream that fails fast attracted more than its share of work");
}

TEST_CASE("a hanging upstream is ejected, but not one whose existing connections hang while new ones work")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto hanging = runFault(8, 60, seed, {.hang = true}, {2}, 4);
        CHECK_MESSAGE(hanging.count("eject") == 1, "a hanging upstream was not ejected, seed " << seed);
        const auto silent = runFault(8, 60, seed, {.hangOnOldConnections = true}, {2}, 4);
        CHECK_MESSAGE(silent.count("eject") == 0, "an upstream was ejected for silent connections, seed " << seed);
    }
}

TEST_CASE("a request in progress counts once: at once while it runs, not again at its end")
{
    const auto policy = servicePolicy(8, Weight::DetectionTime);
    health::GrayDetector detector{policy.health, 8};
    const OperationId operation{"c/s/read"};
    std::uint64_t attempt = 0;
    for (int round = 0; round < 30; ++round) {
        for (std::size_t upstream = 0; upstream < 8; ++upstream) {
            detector.attemptStarted(at(0), upstream, ++attempt, operation, false);
            detector.observe(at(0.02), upstream, {{}, operation, attempt, OutcomeKind::Success, std::chrono::milliseconds{20}}, false);
        }
    }
    detector.attemptStarted(at(1), 0, ++attempt, operation, true);
    CHECK_MESSAGE(detector.score(at(1.05), 0).slowness == 0, "a request counted as slow before it was");
    const auto running = detector.score(at(1.2), 0);
    CHECK_MESSAGE((running.slowness > 0 && running.badAnswers == 1), "a request past the slow threshold did not count while it ran");
    detector.observe(at(1.2), 0, {{}, operation, attempt, OutcomeKind::Success, std::chrono::milliseconds{200}}, false);
    const auto ended = detector.score(at(1.2), 0);
    CHECK_MESSAGE((ended.badAnswers == 1 && ended.slowness <= health::SlownessTest::maximumStep), "a slow request counted twice");
}

TEST_CASE("a returning upstream ramps up, and a flapping one is ejected for longer each time")
{
    SimulatedService service{servicePolicy(8, Weight::DetectionTime), 1, 200, 4};
    bool broken = true;
    // Healthy during its trials, and failing again as soon as it has returned, three times.
    service.behaviour = [&](TimePoint now, std::size_t, std::size_t upstream) {
        const auto standing = service.holder(0).stateOf(now, service.policy().upstreams[2].id).standing;
        const bool out = standing == health::Standing::Ejected || standing == health::Standing::Probation;
        return Behaviour{.errorRate = upstream == 2 && broken && now >= at(10) && !out ? 1.0 : 0.002};
    };
    Log log;
    log.attach(service);
    service.runUntil(at(60));
    std::vector<double> timesOut;
    for (std::size_t index = 1; index < log.changes.size(); ++index) {
        if (log.changes[index].second.change == "return") {
            timesOut.push_back(toSeconds(log.changes[index].first - log.changes[index - 1].first));
        }
    }
    CHECK_MESSAGE(timesOut.size() >= 3, "the flapping upstream was not tried again");
    for (std::size_t index = 1; index < timesOut.size(); ++index) {
        CHECK_MESSAGE(timesOut[index] > 1.8 * timesOut[index - 1], "the time out of a flapping upstream did not grow");
    }
    broken = false;
    while (log.changes.back().second.change != "return") {
        service.runUntil(service.now() + std::chrono::milliseconds{100});
        REQUIRE_MESSAGE(service.now() < at(400), "a healthy upstream never returned");
    }
    std::vector<int> perSecond;
    for (int second = 0; second < 8; ++second) {
        log.ordinary.clear();
        service.runUntil(service.now() + std::chrono::seconds{1});
        perSecond.push_back(log.ordinary[2]);
    }
    CHECK_MESSAGE(perSecond[0] < 12, "an upstream that returned got its full load at once");
    CHECK_MESSAGE(perSecond[7] > 15, "traffic did not ramp up after the return");
}

TEST_CASE("FloorGuard agrees with a naive count and keeps the least bad")
{
    CHECK_MESSAGE(rc::check("floor against a naive count",
                            [](const std::vector<std::uint8_t> &raw, std::uint8_t rawFloor) {
                                std::vector<health::FloorCandidate> candidates;
                                candidates.reserve(raw.size());
                                for (const auto value : raw) {
                                    candidates.push_back({value % 4 != 0, value % 3 != 0, double(value >> 4)});
                                }
                                const int floor = rawFloor % 12;
                                const auto decision = health::FloorGuard{floor}.decide(candidates);
                                const std::set<std::size_t> ejected(decision.ejected.begin(), decision.ejected.end());
                                int available = 0;
                                int usable = 0;
                                for (std::size_t index = 0; index < candidates.size(); ++index) {
                                    available += candidates[index].available ? 1 : 0;
                                    usable += candidates[index].available && ejected.count(index) == 0 ? 1 : 0;
                                    RC_ASSERT(candidates[index].shouldEject || ejected.count(index) == 0);
                                    for (const auto other : ejected) {
                                        const bool kept = candidates[index].shouldEject && ejected.count(index) == 0;
                                        const bool both = candidates[index].available && candidates[other].available;
                                        RC_ASSERT(!kept || !both || candidates[index].severity <= candidates[other].severity);
                                    }
                                }
                                RC_ASSERT(usable >= std::min(floor, available));
                                RC_ASSERT(available >= floor || ejected.empty());
                                // An upstream is kept only when the floor is reached exactly.
                                RC_ASSERT(decision.bound.kept.empty() || usable <= floor || available < floor);
                            }),
                  "a floor decision differs from the naive count");
}

TEST_CASE("the floor holds at holder and coordinator through random faults, drains and restarts")
{
    CHECK_MESSAGE(rc::check("usable upstreams never fall below the floor by ejections",
                            [](std::uint64_t seed) {
                                const int upstreams = *rc::gen::inRange(3, 9);
                                auto policy = servicePolicy(upstreams, Weight::DetectionTime);
                                policy.health.healthyFloor = *rc::gen::inRange(1, upstreams + 1);
                                policy.health.probationDelay = std::chrono::seconds{1};
                                SimulatedService service{policy, 2, 60, seed};
                                std::vector<Behaviour> behaviours(upstreams);
                                service.behaviour = [&](TimePoint, std::size_t, std::size_t upstream) {
                                    return behaviours[upstream];
                                };
                                std::vector<bool> draining(upstreams, false);
                                std::vector<std::vector<TimePoint>> coldUntil(2, std::vector<TimePoint>(upstreams));
                                for (int step = 0; step < 60; ++step) {
                                    auto &random = service.random();
                                    const auto upstream = random() % upstreams;
                                    const auto &id = policy.upstreams[upstream].id;
                                    behaviours[upstream] = {.slowness = random() % 2 ? 1.0 : 6.0, .errorRate = random() % 2 ? 0.002 : 1.0};
                                    draining[upstream] = random() % 4 == 0;
                                    const auto started = random() % 4; // 0 and 1: that holder learns of a start
                                    for (std::size_t holder = 0; holder < 2; ++holder) {
                                        if (started == holder) {
                                            service.holder(holder).markStarted(service.now(), id);
                                            coldUntil[holder][upstream] = service.now() + policy.health.coldStartAllowance;
                                        }
                                        service.holder(holder).setDraining(id, draining[upstream]);
                                    }
                                    service.fleet().setUnavailable(id, draining[upstream]);
                                    service.runUntil(service.now() + std::chrono::milliseconds{500});
                                    for (std::size_t holder = 0; holder < 2; ++holder) {
                                        int available = 0;
                                        for (int index = 0; index < upstreams; ++index) {
                                            available += !draining[index] && service.now() >= coldUntil[holder][index] ? 1 : 0;
                                        }
                                        RC_ASSERT(service.holder(holder).usableCount(service.now())
                                                  >= std::min(policy.health.healthyFloor, available));
                                    }
                                }
                            }),
                  "ejections took the usable upstreams below the floor");
}

TEST_CASE("the fleet ejects when two instances agree, and a fault that only one instance observes is ejected by it alone")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto shared = runFault(8, 60, seed, {.errorRate = 1}, {2}, 4, 4);
        CHECK_MESSAGE(shared.ejectingHolders.size() == 4, "a fault that all see was not ejected everywhere, seed " << seed);

        SimulatedService service{servicePolicy(8, Weight::DetectionTime), 4, 60, seed};
        service.behaviour = [](TimePoint now, std::size_t holder, std::size_t upstream) {
            return Behaviour{.errorRate = holder == 1 && upstream == 2 && now >= at(10) ? 1.0 : 0.002};
        };
        Log log;
        log.attach(service);
        service.runUntil(at(40));
        CHECK_MESSAGE(log.ejectingHolders == std::set<std::size_t>{1}, "a fault of one instance's path was not local to it, seed " << seed);
    }
}

TEST_CASE("a new coordinator resumes the ejections that holders apply, and one recovery brings the upstream back everywhere")
{
    SimulatedService service{servicePolicy(8, Weight::DetectionTime), 3, 60, 6};
    bool broken = true;
    service.behaviour = [&broken](TimePoint now, std::size_t, std::size_t upstream) {
        return Behaviour{.errorRate = upstream == 2 && broken && now >= at(10) ? 1.0 : 0.002};
    };
    Log log;
    log.attach(service);
    service.runUntil(at(13));
    REQUIRE_MESSAGE(log.ejectingHolders.size() == 3, "the fault was not ejected everywhere");
    service.fleet() = health::FleetHealth{service.policy(), 1};
    service.runUntil(at(16));
    const auto verdicts = service.fleet().evaluate(service.now()).verdicts;
    CHECK_MESSAGE((verdicts.size() == 1 && verdicts[0].kind == health::VerdictKind::Eject), "a new coordinator forgot an ejection");
    broken = false;
    service.runUntil(at(60));
    for (std::size_t holder = 0; holder < 3; ++holder) {
        CHECK_MESSAGE(service.holder(holder).usableCount(service.now()) == 8, "a recovered upstream did not return at holder " << holder);
    }
}

TEST_CASE("health messages are unchanged by encoding and decoding, and malformed ones are rejected")
{
    health::EvidenceReport report{ServiceId{"c/s"}, 7, {{3, 12.25, 4.5, 10, 2, true, false, 3, 1, true}}};
    CHECK_MESSAGE(nlohmann::json(report).get<health::EvidenceReport>() == report, "a report changed on its way");
    health::Verdicts verdicts{
        ServiceId{"c/s"}, 7, {{3, health::VerdictKind::Trial, InstanceId{"i"}, std::chrono::seconds{2}, 3, 1.5, true}}};
    CHECK_MESSAGE(nlohmann::json(verdicts).get<health::Verdicts>() == verdicts, "verdicts changed on their way");
    auto malformed = nlohmann::json(verdicts);
    malformed[2][0][1] = 9;
    CHECK_THROWS_AS(malformed.get<health::Verdicts>(), nlohmann::json::exception);
}
