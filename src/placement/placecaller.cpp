#include "placement/placecaller.h"

#include "base/stablehash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawdoor::placement {

using membership::Member;

PlacementAnswer placeCaller(PlacementTable &table, const contract::ServicePolicy &policy, std::string_view callerId)
{
    std::vector<std::pair<std::uint64_t, const Member *>> ordered;
    for (const Member *holder : table.holders(policy)) {
        ordered.emplace_back(rendezvousWeight(callerId, holder->ref.id.value), holder);
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->ref.id < right.second->ref.id;
    });

    PlacementAnswer answer;
    answer.timeToLive = policy.placementHold;
    for (const auto &[weight, member] : ordered) {
        if (answer.addresses.size() == maximumAddresses) {
            break;
        }
        answer.addresses.push_back(member->callerAddress);
    }
    if (ordered.empty()) {
        return answer;
    }
    const Member &home = *ordered.front().second;
    answer.home = home.ref;
    const std::string witnessKey = "witness/" + std::string{callerId};
    const Member *witness = table.firstLiveMember(witnessKey, home.ref.id, home.dataCentre);
    if (witness != nullptr) {
        answer.witness = witness->ref;
    }
    return answer;
}

} // namespace jackdawdoor::placement
