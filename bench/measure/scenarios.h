/** The scripted scenarios. */
#pragma once

#include "measure/world.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawdoor::measure {

/** Scenario and the targets that apply to it. */
struct Scenario {
    std::string name;
    std::string description;
    Duration duration{};
    double load = 0.5; ///< share of the peak rate
    double detectionTarget = 0; ///< seconds at p99
    std::int64_t falseEjectionTarget = -1;
    double amplificationTarget = 0;
    double inForceTarget = 0; ///< seconds at p99
    std::function<void(World &)> script; ///< schedules the faults
    std::size_t instances = 48;
};

const std::vector<Scenario> &scenarios();

/** Runs one scenario. */
Measurement runScenario(const Scenario &scenario, RunOptions options);

/** Schedules random faults, at least two at a time, from the world's random source. */
void scheduleChaos(World &world, Duration duration);

/** Runs random faults on a fleet of four to six instances. */
Measurement runChaos(RunOptions options);

} // namespace jackdawdoor::measure
