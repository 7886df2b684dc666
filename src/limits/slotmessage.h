/** Slot lease messages between the holders of a service and its coordinator.
 *
 * One message covers all targets of a service. Upstreams are named by their index in the policy of the stated version.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace jackdawdoor::limits {

/** A holder's use of one target. */
struct TargetDemand {
    std::uint32_t upstream = 0; ///< index in ServicePolicy::upstreams
    std::uint32_t held = 0; ///< slots leased now
    std::uint32_t inUse = 0; ///< requests running now
    std::uint32_t wanted = 0; ///< slots that the holder could use

    bool operator==(const TargetDemand &) const = default;
};

/** A holder's report; targets with nothing held, used or wanted are left out. */
struct SlotDemand {
    ServiceId service;
    std::uint64_t policyVersion = 0;
    std::uint64_t sequence = 0; ///< of the report; the lease runs from the time at which the report was sent
    std::uint64_t confirmed = 0; ///< latest grant of this coordinator that the holder applied; 0 for none
    std::vector<TargetDemand> targets;

    bool operator==(const SlotDemand &) const = default;
};

/** Slots leased of one target. */
struct TargetGrant {
    std::uint32_t upstream = 0; ///< index in ServicePolicy::upstreams
    std::uint32_t slots = 0;

    bool operator==(const TargetGrant &) const = default;
};

/** Answer to one SlotDemand; replaces all earlier grants, and targets that are left out are not leased. */
struct SlotGrant {
    ServiceId service;
    std::uint64_t policyVersion = 0;
    std::uint64_t sequence = 0; ///< the demand that it answers
    std::uint64_t number = 0; ///< grows with each grant of a coordinator; 0 refuses the demand's policy version
    Duration term{}; ///< the lease ends this long after the demand was sent
    std::vector<TargetGrant> targets;

    bool operator==(const SlotGrant &) const = default;
};

using SlotMessage = std::variant<SlotDemand, SlotGrant>;

void to_json(nlohmann::json &json, const TargetDemand &target);
void from_json(const nlohmann::json &json, TargetDemand &target);
void to_json(nlohmann::json &json, const SlotDemand &demand);
/** Throws nlohmann::json::exception on malformed input; the codec turns it into an Error. */
void from_json(const nlohmann::json &json, SlotDemand &demand);
void to_json(nlohmann::json &json, const TargetGrant &target);
void from_json(const nlohmann::json &json, TargetGrant &target);
void to_json(nlohmann::json &json, const SlotGrant &grant);
/** Throws nlohmann::json::exception on malformed input; the codec turns it into an Error. */
void from_json(const nlohmann::json &json, SlotGrant &grant);

} // namespace jackdawdoor::limits
