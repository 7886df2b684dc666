#include "limits/slotmessage.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::limits {

void to_json(nlohmann::json &json, const TargetDemand &target)
{
    json = nlohmann::json::array({target.upstream, target.held, target.inUse, target.wanted});
}

void from_json(const nlohmann::json &json, TargetDemand &target)
{
    json.at(0).get_to(target.upstream);
    json.at(1).get_to(target.held);
    json.at(2).get_to(target.inUse);
    json.at(3).get_to(target.wanted);
}

void to_json(nlohmann::json &json, const SlotDemand &demand)
{
    json = nlohmann::json::array({demand.service.value, demand.policyVersion, demand.sequence, demand.confirmed, demand.targets});
}

void from_json(const nlohmann::json &json, SlotDemand &demand)
{
    json.at(0).get_to(demand.service.value);
    json.at(1).get_to(demand.policyVersion);
    json.at(2).get_to(demand.sequence);
    json.at(3).get_to(demand.confirmed);
    json.at(4).get_to(demand.targets);
}

void to_json(nlohmann::json &json, const TargetGrant &target)
{
    json = nlohmann::json::array({target.upstream, target.slots});
}

void from_json(const nlohmann::json &json, TargetGrant &target)
{
    json.at(0).get_to(target.upstream);
    json.at(1).get_to(target.slots);
}

void to_json(nlohmann::json &json, const SlotGrant &grant)
{
    json =
        nlohmann::json::array({grant.service.value, grant.policyVersion, grant.sequence, grant.number, grant.term.count(), grant.targets});
}

void from_json(const nlohmann::json &json, SlotGrant &grant)
{
    json.at(0).get_to(grant.service.value);
    json.at(1).get_to(grant.policyVersion);
    json.at(2).get_to(grant.sequence);
    json.at(3).get_to(grant.number);
    grant.term = Duration{json.at(4).get<Duration::rep>()};
    json.at(5).get_to(grant.targets);
}

} // namespace jackdawdoor::limits
