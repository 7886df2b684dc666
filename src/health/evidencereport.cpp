#include "health/evidencereport.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::health {

namespace {

enum Flag : unsigned {
    EjectedLocally = 1,
    EjectedByFleet = 2,
    TrialFailed = 4,
};

/** Fixed-point scale: two decimal places suffice, and CBOR encodes the integer in 2 or 3 bytes instead of 9. */
constexpr double scoreScale = 100;

} // namespace

void to_json(nlohmann::json &json, const UpstreamEvidence &evidence)
{
    const unsigned flags = (evidence.ejectedLocally ? EjectedLocally : 0U) | (evidence.ejectedByFleet ? EjectedByFleet : 0U)
                           | (evidence.trialFailed ? TrialFailed : 0U);
    json = nlohmann::json::array({evidence.upstream,
                                  static_cast<std::int64_t>(evidence.score * scoreScale),
                                  static_cast<std::int64_t>(evidence.severity * scoreScale),
                                  evidence.good,
                                  evidence.bad,
                                  flags,
                                  evidence.consecutiveEjections,
                                  evidence.trialsPassed});
}

void from_json(const nlohmann::json &json, UpstreamEvidence &evidence)
{
    json.at(0).get_to(evidence.upstream);
    evidence.score = static_cast<double>(json.at(1).get<std::int64_t>()) / scoreScale;
    evidence.severity = static_cast<double>(json.at(2).get<std::int64_t>()) / scoreScale;
    json.at(3).get_to(evidence.good);
    json.at(4).get_to(evidence.bad);
    const auto flags = json.at(5).get<unsigned>();
    evidence.ejectedLocally = (flags & EjectedLocally) != 0;
    evidence.ejectedByFleet = (flags & EjectedByFleet) != 0;
    evidence.trialFailed = (flags & TrialFailed) != 0;
    json.at(6).get_to(evidence.consecutiveEjections);
    json.at(7).get_to(evidence.trialsPassed);
}

void to_json(nlohmann::json &json, const EvidenceReport &report)
{
    json = nlohmann::json::array({report.service.value, report.policyVersion, report.upstreams});
}

void from_json(const nlohmann::json &json, EvidenceReport &report)
{
    json.at(0).get_to(report.service.value);
    json.at(1).get_to(report.policyVersion);
    json.at(2).get_to(report.upstreams);
}

} // namespace jackdawdoor::health
