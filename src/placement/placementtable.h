/** Assignment of services to instances by rendezvous hashing over the members of a view.
 *
 * Only live members are ranked. Leaving and suspect members are ranked only if the view has no live member; joining and
 * failed members never are. Members are sorted by descending rendezvous weight for the service's id, then by instance id.
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

/** Ranks stored per service beyond the requested ones, so that removed members rarely require a full ranking. */
constexpr std::size_t spareRanks = 8;

/** Caches the rankings of requested services and updates them incrementally.
 *
 * A new view changes only a few members. Recomputing the rankings of 2,800 services over 4,100 members on each change would
 * cost several times the CPU time available for control work.
 */
class PlacementTable
{
public:
    explicit PlacementTable(membership::MembershipViewPointer view);

    /** Switches to a newer view. Does nothing if the epoch hasn't changed. */
    void update(membership::MembershipViewPointer view);

    const membership::MembershipView &view() const;

    /** Returns the `count` highest-ranked members, or all if there are fewer. Valid until the next update(). */
    std::vector<const membership::Member *> rank(const ServiceId &service, std::size_t count);

    /** Returns the member ranked first, or nullptr if no member can serve. */
    const membership::Member *coordinator(const ServiceId &service);

    /** Returns the `policy.holders` highest-ranked members, coordinator first; at least one is requested. */
    std::vector<const membership::Member *> holders(const contract::ServicePolicy &policy);

    /** Returns the live member other than `except` with the highest rendezvous weight for the key. Members of the preferred
     * data centre come first. Returns nullptr if no other member is live. */
    const membership::Member *firstLiveMember(std::string_view key, const InstanceId &except, const DataCentreId &preferred) const;

    /** Members that can be ranked, sorted by id. */
    const std::vector<InstanceId> &eligible() const;

private:
    struct Ranked {
        std::uint64_t weight = 0;
        InstanceId id;

        /** Orders by descending weight, then by id. */
        bool before(const Ranked &other) const;
    };
    /** The first `top.size()` ranks of the full ranking of one service. */
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
