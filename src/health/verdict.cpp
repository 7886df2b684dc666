#include "health/verdict.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::health {

namespace {

constexpr double severityScale = 100;

} // namespace

void to_json(nlohmann::json &json, const Verdict &verdict)
{
    json = nlohmann::json::array({verdict.upstream,
                                  static_cast<std::uint8_t>(verdict.kind),
                                  verdict.instance.value,
                                  verdict.remaining.count(),
                                  verdict.consecutiveEjections,
                                  static_cast<std::int64_t>(verdict.severity * severityScale),
                                  verdict.floorBound});
}

void from_json(const nlohmann::json &json, Verdict &verdict)
{
    json.at(0).get_to(verdict.upstream);
    const auto kind = json.at(1).get<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(VerdictKind::Confirmation)) {
        throw nlohmann::json::out_of_range::create(401, "unknown kind of verdict", &json);
    }
    verdict.kind = static_cast<VerdictKind>(kind);
    json.at(2).get_to(verdict.instance.value);
    verdict.remaining = Duration{json.at(3).get<Duration::rep>()};
    json.at(4).get_to(verdict.consecutiveEjections);
    verdict.severity = static_cast<double>(json.at(5).get<std::int64_t>()) / severityScale;
    json.at(6).get_to(verdict.floorBound);
}

void to_json(nlohmann::json &json, const Verdicts &verdicts)
{
    json = nlohmann::json::array({verdicts.service.value, verdicts.policyVersion, verdicts.verdicts});
}

void from_json(const nlohmann::json &json, Verdicts &verdicts)
{
    json.at(0).get_to(verdicts.service.value);
    json.at(1).get_to(verdicts.policyVersion);
    json.at(2).get_to(verdicts.verdicts);
}

} // namespace jackdawdoor::health
