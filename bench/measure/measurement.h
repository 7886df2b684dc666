/** Results of one run, with the invariants and targets of docs/design.md. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::measure {

/** Results of one run, or of several merged runs. */
struct Measurement {
    std::string name; ///< scenario
    std::string policy; ///< "product" or "naive"
    std::string deployment;
    std::uint64_t seed = 0;
    std::uint64_t runs = 1;

    std::vector<double> detectionSeconds; ///< one sample for each fault of a single upstream
    double detectionTarget = 0; ///< seconds at p99; 0 when the scenario has none
    std::uint64_t undetected = 0; ///< faults that ended before the upstream stopped receiving ordinary requests
    std::uint64_t falseEjections = 0;
    std::int64_t falseEjectionTarget = -1; ///< at most this many; negative when the scenario has none
    int floorMargin = 1000; ///< minimum of available upstreams minus floor; 1000 without samples
    std::uint64_t floorViolations = 0;

    std::uint64_t submissions = 0;
    std::uint64_t doubledRuns = 0; ///< submissions that ran more than once across all their keys
    std::uint64_t falseNotRun = 0; ///< keys reported as not run that ran before or after the report
    std::uint64_t falseAnswers = 0; ///< submissions answered as complete that never ran
    std::uint64_t lostSubmissions = 0; ///< neither an answer nor an outcome available at the end
    std::uint64_t honestUnknowns = 0;
    std::uint64_t abandonedNotRun = 0; ///< submissions abandoned by the caller after a "not run" for every attempt
    std::uint64_t crashes = 0; ///< upstream crashes caused by requests of death
    std::uint64_t requestsOfDeath = 0; ///< requests that crash each upstream that runs them

    std::uint64_t reads = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    std::uint64_t lost = 0; ///< reads without any answer
    std::uint64_t badAnswers = 0; ///< errors and wrong answers relayed to callers
    std::uint64_t inTime = 0;

    int peakRunning = 0; ///< maximum of concurrent requests at one upstream
    int slots = 0; ///< slots of one upstream
    std::uint64_t originals = 0; ///< requests with at least one attempt
    std::uint64_t attempts = 0;
    double amplificationTarget = 0;
    double controlBytesPerSecond = 0; ///< per instance
    std::vector<double> controlBytesByKind; ///< per second and instance, in the order of core::PeerMessage
    double controlTarget = 0;

    std::vector<double> inForceSeconds;
    double inForceTarget = 0;
    std::uint64_t notInForce = 0; ///< instances without the accepted version at the end
    std::uint64_t versionReverts = 0;

    std::vector<std::string> mistakes; ///< traces of the first false ejections
    std::vector<std::string> broken; ///< traces of the first invariant violations

    /** Records the trace of an invariant violation. */
    void addTrace(const std::string &trace);

    /** Records the trace of a false ejection. */
    void addMistake(const std::string &trace);

    /** Merges the results of another run of the same scenario. */
    void merge(const Measurement &other);

    bool invariantsHold() const;
    double amplification() const;
};

/** Sample at the given quantile (0 to 1); 0 without samples. */
double percentile(std::vector<double> samples, double share);

/** Human-readable report; missed targets are marked MISSED. */
std::string toText(const Measurement &measurement);

/** Report as a JSON object. */
std::string toJson(const Measurement &measurement);

} // namespace jackdawdoor::measure
