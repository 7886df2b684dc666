/** Which instances serve a service, by rendezvous hashing over the members of a view.
 *
 * Only live members rank. Leaving members and suspects rank only when the view has no live member at all; joining and
 * failed members never do. The order is by falling rendezvous weight of the service's id, then by instance id.
 */
#pragma once

#include "base/ids.h"
#include "contract/policy.h"
#include "membership/membershipview.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace jackdawdoor::placement {

/** Ranks kept per service beyond those asked for, so that departures seldom need a new ranking. */
constexpr std::size_t spareRanks = 8;

/** Rankings of the services asked for, kept current from view to view.
 *
 * A new view changes a few members only, so the table applies the difference: ranking 2,800 services over 4,100 members
 * anew on each change would cost several times the allowance for control work.
 */
class PlacementTable
{
public:
    explicit PlacementTable(membership::MembershipViewPointer view);

    /** Takes a newer view; cheap when its epoch is the known one. */
    void update(membership::MembershipViewPointer view);

    const membership::MembershipView &view() const;

    /** The highest `count` ranks of a service, fewer when the fleet is smaller. Valid until the next update(). */
    std::vector<const membership::Member *> rank(const ServiceId &service, std::size_t count);

    /** The member ranked first; nullptr when no member can serve. */
    const membership::Member *coordinator(const ServiceId &service);

    /** The highest `policy.holders` ranks, coordinator first. At least one rank is asked for. */
    std::vector<const membership::Member *> holders(const contract::ServicePolicy &policy);

    /** Live member with the highest rendezvous weight for the key, other than `except`, of that data centre if it has
     * one; nullptr when no other member is live. */
    const membership::Member *firstLiveMember(std::string_view key, const InstanceId &except, const DataCentreId &preferred) const;

    /** Members that may rank, sorted by id. */
    const std::vector<InstanceId> &eligible() const;

private:
    struct Ranked {
        std::uint64_t weight = 0;
        InstanceId id;

        /** Orders by falling weight, then by id. */
        bool before(const Ranked &other) const;
    };
    /** The highest ranks of one service: exactly the first `top.size()` of the full ranking. */
    struct Ranking {
        std::vector<Ranked> top;
        std::size_t requested = 0;
    };

    void computeEligible();
    void recompute(const ServiceId &service, Ranking &ranking) const;
    void removeFromRankings(const InstanceId &id);
    void addToRankings(const InstanceId &id);
    const Ranking &ranking(const ServiceId &service, std::size_t count);

    membership::MembershipViewPointer m_view;
    std::vector<InstanceId> m_eligible;
    std::map<DataCentreId, std::vector<InstanceId>> m_liveByDataCentre;
    bool m_eligibleAreLive = true;
    absl::flat_hash_map<ServiceId, Ranking> m_rankings;
};

} // namespace jackdawdoor::placement
