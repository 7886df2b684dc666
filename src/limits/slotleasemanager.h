/** Slot leases of one service, managed by its coordinator. */
#pragma once

#include "contract/policy.h"
#include "limits/slotmessage.h"
#include "limits/upstreamindextranslator.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** Leases each target's slots to the holders, max-min fair, and never more than the target has.
 *
 * The slots committed to a holder are the largest of its grants that are neither expired nor superseded by a confirmed
 * later one. A reduced grant therefore frees slots only when it is confirmed or the earlier one has expired.
 */
class SlotLeaseManager
{
public:
    /** `now` is when the instance became coordinator; for a grace period of one lease term it only renews leases that holders
     * report. */
    SlotLeaseManager(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Records a holder's report and returns the grant. A grant with number 0 rejects an unknown policy version. */
    SlotGrant onDemand(TimePoint now, const InstanceRef &from, const SlotDemand &demand);

    /** Removes expired leases and holders without recent reports. */
    void onTick(TimePoint now);

    /** Sets the number of members on the instance list and of those reachable. An increase of the leasable slots takes effect
     * after one lease term. */
    void setVisibility(TimePoint now, int listed, int visible);

    /** Switches to a new policy. Additional slots and those of new targets are leased after one lease term. */
    void adoptPolicy(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Slots of the target that are committed to holders now. */
    int committed(TimePoint now, const UpstreamId &upstream) const;

    /** Slots of the target that may be leased now. */
    int leasable(TimePoint now, const UpstreamId &upstream) const;

private:
    struct Grant {
        std::uint64_t number = 0;
        TimePoint expires;
        std::vector<int> slots; ///< by upstream index
    };
    struct Holder {
        std::deque<Grant> grants; ///< the confirmed one first, then later ones
        std::vector<int> inUse;
        std::vector<int> wanted;
        std::uint64_t lastSequence = 0;
        TimePoint expires; ///< of the latest report; its use and demand are ignored afterwards
    };
    struct Target {
        UpstreamId id;
        int slots = 0;
        int leasable = 0; ///< in force now
        TimePoint raiseAt; ///< when raisedTo takes effect
        int raisedTo = 0; ///< pending higher number of leasable slots
    };

    /** Lease term plus the clock margin: when a lease ends at the coordinator. */
    Duration guardedTerm() const;
    static int committedTo(TimePoint now, const Holder &holder, std::size_t target);
    int committedToOthers(TimePoint now, const InstanceRef &holder, std::size_t target) const;
    int fairShare(TimePoint now, const InstanceRef &holder, std::size_t target) const;
    void recordDemand(TimePoint now, Holder &holder, const SlotDemand &demand, std::vector<int> &held);
    void setLeasable(TimePoint now, Target &target, int slots) const;
    static int leasableNow(TimePoint now, const Target &target);
    std::optional<std::size_t> indexOf(const UpstreamId &upstream) const;

    contract::ServicePolicy m_policy;
    UpstreamIndexTranslator m_indices;
    std::vector<Target> m_targets;
    std::map<InstanceRef, Holder> m_holders;
    TimePoint m_graceUntil;
    std::uint64_t m_nextNumber = 1;
    int m_listed = 0;
    int m_visible = 0;
};

} // namespace jackdawdoor::limits
