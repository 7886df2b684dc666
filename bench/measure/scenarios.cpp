#include "measure/scenarios.h"

#include "measure/scenarioscripts.h"

#include <utility>

namespace jackdawdoor::measure {

namespace {

using std::chrono::seconds;

/** Targets of docs/design.md. */
constexpr double erroringTarget = 1;
constexpr double slowTarget = 2;
constexpr double amplificationTarget = 1.1;
constexpr double controlTarget = 2048;
constexpr double inForceWithLog = 5;
constexpr double inForceThroughPeers = 15;

std::vector<Scenario> build()
{
    std::vector<Scenario> all;
    all.push_back({"healthy", "noise only, no fault", seconds{120}, 0.5, 0, 0, 0, 0, [](World &) {}});
    all.push_back({"slow", "one upstream at a time is 5x slower", seconds{66}, 0.5, slowTarget, 0, 0, 0, scripts::slow});
    all.push_back({"erroring",
                   "one upstream at a time answers every request with 500",
                   seconds{66},
                   0.5,
                   erroringTarget,
                   0,
                   0,
                   0,
                   scripts::erroring});
    all.push_back({"half-erroring",
                   "one upstream at a time answers half of the requests with 500",
                   seconds{66},
                   0.5,
                   erroringTarget,
                   0,
                   0,
                   0,
                   scripts::halfErroring});
    all.push_back({"wrong-answer",
                   "one upstream at a time answers with stale data",
                   seconds{66},
                   0.5,
                   erroringTarget,
                   0,
                   0,
                   0,
                   scripts::wrongAnswer});
    all.push_back(
        {"fail-fast", "one upstream at a time answers 500 immediately", seconds{66}, 0.5, erroringTarget, 0, 0, 0, scripts::failFast});
    all.push_back(
        {"flapping", "one upstream alternates between 3 s of errors and 3 s of health", seconds{60}, 0.5, 0, 0, 0, 0, scripts::flapping});
    all.push_back({"cold-start", "upstreams restart and are slow for some seconds", seconds{60}, 0.5, 0, 0, 0, 0, scripts::coldStart});
    all.push_back({"overload", "all upstreams of a service are slow", seconds{40}, 0.7, 0, 0, amplificationTarget, 0, scripts::overload});
    all.push_back(
        {"full-outage", "all upstreams of all services fail", seconds{30}, 0.5, 0, -1, amplificationTarget, 0, scripts::fullOutage});
    all.push_back({"one-way-partition",
                   "instances receive messages, but their own are lost",
                   seconds{40},
                   0.3,
                   0,
                   0,
                   0,
                   0,
                   scripts::oneWayPartition});
    all.push_back({"upstream-cut", "some instances cannot reach an upstream", seconds{40}, 0.5, 0, 0, 0, 0, scripts::upstreamCut});
    all.push_back(
        {"silent-connections", "open connections become silent, new ones work", seconds{40}, 0.5, 0, 0, 0, 0, scripts::silentConnections});
    all.push_back({"request-of-death",
                   "requests crash the upstreams that run them and are sent again",
                   seconds{40},
                   0.3,
                   0,
                   0,
                   0,
                   0,
                   scripts::requestOfDeath});
    all.push_back({"resend-storm", "callers resend all submissions at once", seconds{40}, 0.3, 0, 0, 0, 0, scripts::resendStorm});
    all.push_back({"pause", "instances pause for 5 s", seconds{40}, 0.3, 0, 0, 0, 0, scripts::pause});
    all.push_back({"crash", "instances crash and restart", seconds{40}, 0.3, 0, 0, 0, 0, scripts::crash});
    all.push_back({"planned-stop", "instances perform a planned stop", seconds{40}, 0.3, 0, 0, 0, 0, scripts::plannedStop});
    all.push_back({"rolling-replacement", "all instances are replaced", seconds{70}, 0.3, 0, 0, 0, 0, scripts::rollingReplacement});
    all.push_back({"racing-publishes",
                   "concurrent publishes with lost acknowledgements",
                   seconds{60},
                   0.1,
                   0,
                   0,
                   0,
                   inForceWithLog,
                   scripts::racingPublishes});
    all.push_back(
        {"log-outage", "the log is down while new instances start", seconds{60}, 0.1, 0, 0, 0, inForceThroughPeers, scripts::logOutage});
    all.push_back({"fleet-restart",
                   "the whole fleet restarts while the log is down; the log recovers later",
                   seconds{60},
                   0.1,
                   0,
                   -1,
                   0,
                   0,
                   scripts::fleetRestart});
    all.push_back(
        {"region-cut", "a third of the instances is partitioned off and reconnects", seconds{60}, 0.3, 0, 0, 0, 0, scripts::regionCut});
    all.push_back({"month-end", "burst to the peak rate", seconds{40}, 0.4, 0, 0, 0, 0, scripts::monthEnd});
    return all;
}

} // namespace

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = build();
    return all;
}

Measurement runScenario(const Scenario &scenario, RunOptions options)
{
    options.instances = scenario.instances;
    options.callers.load = scenario.load;
    World world(options, scenario.name);
    Measurement &measurement = world.measurement();
    measurement.detectionTarget = scenario.detectionTarget;
    measurement.falseEjectionTarget = scenario.falseEjectionTarget;
    measurement.amplificationTarget = scenario.amplificationTarget;
    measurement.inForceTarget = scenario.inForceTarget;
    measurement.controlTarget = controlTarget;
    scenario.script(world);
    world.run(scenario.duration);
    return world.finish();
}

} // namespace jackdawdoor::measure
