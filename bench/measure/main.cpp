/** jackdawdoor-measure: runs scenarios on fakes in virtual time and prints the figures of docs/design.md. */
#include "measure/scenarios.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(bool, list, false, "list the scenarios");
ABSL_FLAG(bool, all, false, "run all scenarios");
ABSL_FLAG(std::string, scenario, "", "name of the scenario to run, or chaos");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run");
ABSL_FLAG(std::string, seeds, "", "A..B: run all these seeds and merge their results");
ABSL_FLAG(std::string, deployment, "quetzal", "ayudas or quetzal; chaos alternates between them");
ABSL_FLAG(std::string, policy, "product", "naive or product");
ABSL_FLAG(bool, json, false, "print one JSON object for each scenario");
ABSL_FLAG(int, threads, 4, "number of seeds to run in parallel, each with its own fleet");

namespace {

using namespace jackdawdoor::measure;

struct SeedRange {
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

SeedRange seedRange()
{
    const std::string text = absl::GetFlag(FLAGS_seeds);
    const std::size_t dots = text.find("..");
    if (dots == std::string::npos) {
        return {absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_seed)};
    }
    return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

Measurement runSeed(const Scenario *scenario, std::uint64_t seed)
{
    RunOptions options;
    options.seed = seed;
    options.deployment = absl::GetFlag(FLAGS_deployment);
    options.naive = absl::GetFlag(FLAGS_policy) == "naive";
    return scenario == nullptr ? runChaos(options) : runScenario(*scenario, options);
}

/** Runs all seeds of one scenario, or of chaos when it is nullptr. */
Measurement runSeeds(const Scenario *scenario, SeedRange range)
{
    std::atomic<std::uint64_t> next = range.first;
    std::mutex mutex;
    std::optional<Measurement> total;
    const auto work = [&] {
        for (std::uint64_t seed = next++; seed <= range.last; seed = next++) {
            const Measurement one = runSeed(scenario, seed);
            const std::lock_guard<std::mutex> lock(mutex);
            if (!one.invariantsHold()) {
                std::fprintf(stderr, "seed %llu violates an invariant\n%s", static_cast<unsigned long long>(seed), toText(one).c_str());
            }
            if (total) {
                total->merge(one);
            } else {
                total = one;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int number = 1; number < absl::GetFlag(FLAGS_threads); ++number) {
        threads.emplace_back(work);
    }
    work();
    for (std::thread &thread : threads) {
        thread.join();
    }
    total->seed = range.first;
    return *total;
}

/** Prints the measurement; returns false when an invariant is violated. */
bool report(const Measurement &measurement)
{
    std::cout << (absl::GetFlag(FLAGS_json) ? toJson(measurement) + "\n" : toText(measurement)) << std::flush;
    return measurement.invariantsHold();
}

void list()
{
    for (const Scenario &scenario : scenarios()) {
        std::cout << scenario.name << ": " << scenario.description << "\n";
    }
    std::cout << "chaos: a random schedule of faults, at least two at a time, drawn from the seed\n";
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures jackdawdoor on fakes in virtual time. Use --list to list the scenarios.");
    absl::ParseCommandLine(argc, argv);
    const std::string wanted = absl::GetFlag(FLAGS_scenario);
    const bool all = absl::GetFlag(FLAGS_all);
    if (absl::GetFlag(FLAGS_list) || (wanted.empty() && !all)) {
        list();
        return 0;
    }
    bool holds = true;
    bool found = false;
    for (const Scenario &scenario : scenarios()) {
        if (all || scenario.name == wanted) {
            found = true;
            holds = report(runSeeds(&scenario, seedRange())) && holds;
        }
    }
    if (all || wanted == "chaos") {
        found = true;
        holds = report(runSeeds(nullptr, seedRange())) && holds;
    }
    if (!found) {
        std::cerr << "jackdawdoor-measure: unknown scenario " << wanted << "; use --list to list the scenarios\n";
        return 2;
    }
    return holds ? 0 : 1;
}
