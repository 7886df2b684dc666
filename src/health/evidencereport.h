/** A holder's evidence about a service's upstreams, for the service's coordinator.
 *
 * Upstreams are named by their index in the policy of the stated version. Upstreams without evidence are left
 * out, so that a report on a healthy service takes a few bytes.
 */
#pragma once

#include "base/ids.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace jackdawdoor::health {

/** Evidence about one upstream. */
struct UpstreamEvidence {
    std::uint32_t upstream = 0; ///< index in ServicePolicy::upstreams
    double score = 0; ///< cumulative log-likelihood ratio; 0 while the upstream's siblings are as bad
    double severity = 0; ///< orders upstreams when the healthy floor limits ejections; higher is worse
    std::uint32_t good = 0; ///< good answers since the last report
    std::uint32_t bad = 0; ///< failed and slow answers since the last report
    bool ejectedLocally = false; ///< the holder ejected it on its own evidence
    bool ejectedByFleet = false; ///< the holder applies a fleet-wide ejection; a new coordinator resumes it from this
    std::uint32_t consecutiveEjections = 0; ///< ejections and failed trials in close succession
    std::uint32_t trialsPassed = 0; ///< consecutive good trials of the probation that runs here
    bool trialFailed = false; ///< a trial failed since the last report

    bool operator==(const UpstreamEvidence &) const = default;
};

/** One report; sent with the slot demand or at once when an ejection changes. */
struct EvidenceReport {
    ServiceId service;
    std::uint64_t policyVersion = 0;
    std::vector<UpstreamEvidence> upstreams;

    bool operator==(const EvidenceReport &) const = default;
};

void to_json(nlohmann::json &json, const UpstreamEvidence &evidence);
void from_json(const nlohmann::json &json, UpstreamEvidence &evidence);
void to_json(nlohmann::json &json, const EvidenceReport &report);
/** Throws nlohmann::json::exception on malformed input; the codec turns it into an Error. */
void from_json(const nlohmann::json &json, EvidenceReport &report);

} // namespace jackdawdoor::health
