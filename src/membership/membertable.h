/** What one instance believes of each member, and the rules by which rumours change it. */
#pragma once

#include "base/time.h"
#include "membership/instancelist.h"
#include "membership/membershipmessage.h"
#include "membership/membershipview.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::membership {

/** Suspicion lasts this long plus one second for each factor of ten in the fleet's size. */
constexpr Duration suspicionBase = std::chrono::seconds{3};
/** A failed member that isn't listed is dropped from the view after this time. */
constexpr Duration failedRetention = std::chrono::minutes{10};
/** Its incarnation is remembered for longer, so that a late rumour doesn't bring it back. */
constexpr Duration tombstoneLifetime = std::chrono::hours{24};
/** Tombstone incarnations kept at most; the oldest go first. 10,000 instances a day are replaced at design scale. */
constexpr std::size_t maximumTombstones = 20'000;

/** Time that a suspect has for its refutation. */
Duration suspicionTimeout(std::size_t fleetSize);

/** Belief about one member. */
struct MemberRecord {
    MemberUpdate update; ///< the largest rumour so far, with address and data centre kept
    TimePoint since; ///< time of the last change of state
    std::optional<TimePoint> answeredAt; ///< last direct answer to this instance
    bool listed = false;
    /** Incarnation that was known when the list began to call the member leaving; a later one isn't meant. */
    std::optional<Incarnation> listedLeaving;
    bool verificationSent = false; ///< the last check before declaring the suspect failed has been made
    bool decidedInIsolation = false; ///< suspected while this instance was isolated; such a belief isn't passed on
    std::string staleAddress; ///< address of an earlier incarnation that still sends
};

/** Members by id. */
class MemberTable
{
public:
    explicit MemberTable(const Member &self);

    /** Applies a rumour about another member; returns it if it changed the belief and should be passed on. */
    std::optional<MemberUpdate> merge(TimePoint now, const MemberUpdate &update);

    /** Replaces the rumour about this instance itself. */
    void setSelf(const MemberUpdate &update);

    /** While isolated, beliefs formed in isolation stand. Afterwards any news of the member replaces them. */
    void setIsolated(bool isolated);

    /** Notes a message from the member. */
    void heardFrom(TimePoint now, const InstanceRef &ref);

    /** Notes a direct answer of the member, which proves that both ways work. */
    void answeredBy(TimePoint now, const InstanceRef &ref);

    /** Suspects the member; returns the rumour, or nothing while isolated. */
    std::optional<MemberUpdate> suspect(TimePoint now, const InstanceRef &ref);

    /** Suspects whose time is over within `margin` and that weren't returned before. */
    std::vector<InstanceRef> suspectsToVerify(TimePoint now, Duration margin);

    /** Gives a suspect that answered its full time again; its refutation is on the way. */
    void extendSuspicion(TimePoint now, const InstanceRef &ref);

    /** Turns old suspicions into failures, forgets old failures; returns rumours to pass on. */
    std::vector<MemberUpdate> expire(TimePoint now);

    /** Moves the deadlines of suspicions by the length of a pause, in which no refutation could be heard. */
    void shiftSuspicions(Duration gap);

    /** Treats all other members as unheard, after a silence so long that the beliefs are worthless. */
    void resetToJoining(TimePoint now);

    void applyList(TimePoint now, const InstanceList &list);

    const MemberUpdate &self() const;
    const MemberRecord *find(const InstanceId &id) const;
    const std::map<InstanceId, MemberRecord> &records() const;

    /** Rumour that the sender of this rumour about itself must hear because its belief is outdated. */
    std::optional<MemberUpdate> correctionFor(const MemberUpdate &own) const;

    /** Notes where an earlier incarnation of a known member sends from, so that it can be told. */
    void setStaleAddress(const InstanceRef &earlier, const std::string &address);

    /** Members live, leaving or suspect, self included. */
    std::size_t fleetSize() const;

    /** The current view; never null. */
    MembershipViewPointer view() const;

    /** Makes a new view if something changed since the last call. */
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

/** The rumour without address and data centre where receivers don't need them. */
MemberUpdate compactUpdate(MemberUpdate update);

} // namespace jackdawdoor::membership
