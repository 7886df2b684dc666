/** The coordinator's account of the slots of one service. */
#pragma once

#include "contract/policy.h"
#include "limits/slotmessage.h"
#include "limits/upstreamindextranslator.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** Leases each target's slots to the holders, max-min fair, and never more than there are.
 *
 * What a holder may have in force is the largest of its grants that are neither expired nor replaced by a confirmed
 * later one. That is what counts against the slots; a lowered grant therefore frees slots only when confirmed or expired.
 */
class SlotLeaseManager
{
public:
    /** The instance became coordinator at this time; for one lease term it grants only what holders report as held. */
    SlotLeaseManager(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Books a holder's report and answers it. A grant with number 0 refuses a policy version that is not known here. */
    SlotGrant onDemand(TimePoint now, const InstanceRef &from, const SlotDemand &demand);

    /** Drops expired leases and silent holders. */
    void onTick(TimePoint now);

    /** Members on the instance list and how many of them are visible. More slots take effect after one lease term. */
    void setVisibility(TimePoint now, int listed, int visible);

    /** Continues with a new policy. A target whose slots rose or that is new is leased after one lease term. */
    void adoptPolicy(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Slots of the target that holders may have in force now. */
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
        TimePoint expires; ///< of the latest report; afterwards its use and wishes are forgotten
    };
    struct Target {
        UpstreamId id;
        int slots = 0;
        int leasable = 0; ///< in force now
        TimePoint raiseAt; ///< when a higher number takes effect
        int raisedTo = 0; ///< that number
    };

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
