#include "contract/parsecontract.h"
#include "contract/units.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::contract {

namespace {

using Json = nlohmann::ordered_json;

Json printUpstream(const Upstream &upstream)
{
    return Json{{"name", upstream.name},
                {"address", upstream.address},
                {"dataCentre", upstream.dataCentre.value},
                {"slots", upstream.slots},
                {"connections", upstream.connections}};
}

Json printWrongAnswer(const WrongAnswerRule &rule)
{
    Json json{{"statuses", rule.statuses}, {"minimumBody", formatSize(rule.minimumBodyBytes)}};
    if (rule.maximumAge) {
        json["freshnessHeader"] = rule.freshnessHeader;
        json["maximumAge"] = formatDuration(*rule.maximumAge);
    }
    if (!rule.contentType.empty()) {
        json["contentType"] = rule.contentType;
    }
    return json;
}

Json printOperation(const Operation &operation)
{
    return Json{{"name", operation.name},
                {"method", operation.method},
                {"pathPrefix", operation.pathPrefix},
                {"idempotent", operation.idempotent},
                {"keyRequired", operation.keyRequired},
                {"usefulWithin", formatDuration(operation.usefulWithin)},
                {"largestRequest", formatSize(operation.largestRequest)},
                {"largestAnswer", formatSize(operation.largestAnswer)},
                {"wrongAnswer", printWrongAnswer(operation.wrongAnswer)}};
}

Json printFloor(HealthyFloor floor)
{
    if (floor.unit == HealthyFloor::Unit::Upstreams) {
        return floor.amount;
    }
    return std::to_string(floor.amount) + "%";
}

Json printService(const Service &service)
{
    Json json{{"name", service.name},
              {"peakRequestsPerSecond", service.peakRequestsPerSecond},
              {"healthyFloor", printFloor(service.healthyFloor)},
              {"upstreams", Json::array()},
              {"operations", Json::array()}};
    for (const Upstream &upstream : service.upstreams) {
        json["upstreams"].push_back(printUpstream(upstream));
    }
    for (const Operation &operation : service.operations) {
        json["operations"].push_back(printOperation(operation));
    }
    return json;
}

} // namespace

std::string printContract(const Contract &contract)
{
    constexpr int indent = 2;
    Json json{{"customer", contract.customer},
              {"weight", contract.weight == Weight::DetectionTime ? "detection-time" : "false-ejections"},
              {"services", Json::array()}};
    if (!contract.organisationHeader.empty()) {
        json["organisationHeader"] = contract.organisationHeader;
    }
    for (const Service &service : contract.services) {
        json["services"].push_back(printService(service));
    }
    return json.dump(indent) + "\n";
}

} // namespace jackdawdoor::contract
