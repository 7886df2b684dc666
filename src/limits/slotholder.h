/** A holder's leased slots of one service. */
#pragma once

#include "contract/policy.h"
#include "limits/slotmessage.h"
#include "limits/upstreamindextranslator.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** Assigns leased slots to requests and requests as many as are needed from the coordinator.
 *
 * A lease runs from the time at which the demand was sent, so that it ends here before it ends at the coordinator.
 */
class SlotHolder
{
public:
    SlotHolder(const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Takes a slot for one request. A failure counts as unmet demand. */
    bool tryAcquire(TimePoint now, const UpstreamId &upstream);

    /** Returns the slot of a request that ended, whether or not its lease still runs. */
    void release(TimePoint now, const UpstreamId &upstream);

    int freeSlots(TimePoint now, const UpstreamId &upstream) const;
    int inUse(const UpstreamId &upstream) const;

    /** Requests that wait for a slot of any upstream; more of them than before is unmet demand. */
    void setBacklog(int requests);

    /** For a locally ejected upstream only one slot is requested, for trials; the others go to other holders. */
    void setEjected(const UpstreamId &upstream, bool ejected);

    /** The next report, when it is due: each 500 ms, and soon after unmet demand or a lowered grant.
     *
     * A change of coordinator makes a report due at once; grants of the former one are ignored from then on.
     */
    std::optional<SlotDemand> nextDemand(TimePoint now, const InstanceRef &coordinator);

    /** Applies a grant. Returns false when it is outdated, from another coordinator or otherwise not applicable. */
    bool onGrant(TimePoint now, const InstanceRef &from, const SlotGrant &grant);

    /** Drops all leases, after a pause of the process. */
    void dropLeases();

    /** Switches to a new policy; keeps the leases of targets that remain, up to their new number of slots. */
    void adoptPolicy(const contract::ServicePolicy &policy, std::uint64_t policyVersion);

private:
    struct Target {
        UpstreamId id;
        int slots = 0; ///< of the whole target
        int leased = 0;
        int inUse = 0;
        int peakInUse = 0; ///< since the last report
        int unmet = 0; ///< failed acquisitions since the last report
        bool ejected = false;
    };
    struct Sent {
        std::uint64_t sequence = 0;
        TimePoint at;
    };

    Target *find(const UpstreamId &upstream);
    const Target *find(const UpstreamId &upstream) const;
    bool isDue(TimePoint now) const;
    static int wanted(const Target &target, int backlogShare);
    void rebuildIndex();

    UpstreamIndexTranslator m_indices;
    std::uint64_t m_wireVersion; ///< policy version used in reports to the coordinator
    ServiceId m_service;
    std::vector<Target> m_targets;
    absl::flat_hash_map<UpstreamId, std::size_t> m_index;
    InstanceRef m_coordinator;
    TimePoint m_leaseEnd;
    std::deque<Sent> m_sent;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_confirmed = 0;
    std::optional<TimePoint> m_lastDemand;
    int m_backlog = 0;
    bool m_unmet = false;
    bool m_confirmationDue = false;
};

} // namespace jackdawdoor::limits
