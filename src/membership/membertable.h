/** State of each member as known to one instance, and the rules by which updates change it. */
#pragma once

#include "base/time.h"
#include "membership/instancelist.h"
#include "membership/membershipmessage.h"
#include "membership/membershipview.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::membership {

/** A suspicion times out after this time plus one second for each factor of ten in the fleet size. */
constexpr Duration suspicionBase = std::chrono::seconds{3};
/** A failed member that isn't listed is removed from the view after this time. */
constexpr Duration failedRetention = std::chrono::minutes{10};
/** A removed member leaves a tombstone for this time, so that a late update doesn't bring it back. */
constexpr Duration tombstoneLifetime = std::chrono::hours{24};
/** Tombstones kept at most; the oldest are removed first. 10,000 instances a day are replaced at design scale. */
constexpr std::size_t maximumTombstones = 20'000;

/** Time in which a suspect must refute before it is declared failed. */
Duration suspicionTimeout(std::size_t fleetSize);

/** What this instance knows about one member. */
struct MemberRecord {
    MemberUpdate update; ///< the update of highest precedence so far; keeps the last known addresses and data centre
    TimePoint since; ///< time of the last update or change of state; moved forward when a suspicion is extended
    std::optional<TimePoint> answeredAt; ///< time of the last Ack that the member sent to this instance itself
    bool listed = false;
    /** Incarnation known when the list first showed the member as leaving; the mark does not apply to later incarnations. */
    std::optional<Incarnation> listedLeaving;
    bool verificationSent = false; ///< the suspect was returned by suspectsToVerify()
    bool decidedInIsolation = false; ///< suspected or failed while this instance was isolated; not gossiped
    std::string staleAddress; ///< address of a superseded incarnation that still sends messages
};

/** Members by id. */
class MemberTable
{
public:
    explicit MemberTable(const Member &self);

    /** Applies an update about another member; returns it for gossip if it was newer than the known state. */
    std::optional<MemberUpdate> merge(TimePoint now, const MemberUpdate &update);

    /** Replaces the update about this instance itself. */
    void setSelf(const MemberUpdate &update);

    /** While isolated, states decided in isolation are kept. Afterwards a message from the member replaces them, and so does
     * an update with the same refutation number and a lower state. */
    void setIsolated(bool isolated);

    /** Records a message from the member. */
    void heardFrom(TimePoint now, const InstanceRef &ref);

    /** Records a direct Ack from the member, which proves that the network works in both directions. */
    void answeredBy(TimePoint now, const InstanceRef &ref);

    /** Marks the member as suspect; returns the update to gossip, or nothing while isolated. */
    std::optional<MemberUpdate> suspect(TimePoint now, const InstanceRef &ref);

    /** Suspects that time out within `margin` and weren't returned before. */
    std::vector<InstanceRef> suspectsToVerify(TimePoint now, Duration margin);

    /** Restarts the timeout of a suspect that answered: its refutation is under way. */
    void extendSuspicion(TimePoint now, const InstanceRef &ref);

    /** Declares suspects failed on timeout and removes old failed members; returns the updates to gossip. */
    std::vector<MemberUpdate> expire(TimePoint now);

    /** Extends all suspicions by the length of a process pause, during which no refutation could be received. */
    void shiftSuspicions(Duration gap);

    /** Sets all other members to Joining, after a silence so long that their states are too old to use. */
    void resetToJoining(TimePoint now);

    void applyList(TimePoint now, const InstanceList &list);

    const MemberUpdate &self() const;
    const MemberRecord *find(const InstanceId &id) const;
    const std::map<InstanceId, MemberRecord> &records() const;

    /** The known update about the sender of `own` if the sender is outdated and must be told: it was superseded, is suspected or
     * failed, or has a tombstone. */
    std::optional<MemberUpdate> correctionFor(const MemberUpdate &own) const;

    /** Records the address of a superseded incarnation, so that it can be told. */
    void setStaleAddress(const InstanceRef &earlier, const std::string &address);

    /** Number of members that are live, leaving or suspect, this instance included. */
    std::size_t fleetSize() const;

    /** The current view; never null. */
    MembershipViewPointer view() const;

    /** Publishes a new view if something changed since the last call. */
    void publishView();

private:
    struct Tombstone {
        MemberUpdate update;
        TimePoint at;
    };
    bool coveredByTombstone(const MemberUpdate &update) const;
    void addTombstone(TimePoint now, const MemberUpdate &update);
    void setState(TimePoint now, MemberRecord &record, MemberState state);
    bool replaces(const MemberUpdate &update, const MemberRecord &record) const;
    std::optional<MemberUpdate> mergeUnknown(TimePoint now, const MemberUpdate &update);

    InstanceId m_selfId;
    std::map<InstanceId, MemberRecord> m_records;
    std::map<InstanceId, Tombstone> m_tombstones;
    std::size_t m_fleetSize = 1;
    std::size_t m_suspects = 0;
    bool m_isolated = false;
    bool m_hasList = false;
    bool m_changed = true;
    MembershipViewPointer m_view;
};

/** The update without addresses and data centre if the state is Suspect or Failed, where receivers don't need them. */
MemberUpdate compactUpdate(MemberUpdate update);

} // namespace jackdawdoor::membership
