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
constexpr Duration forgetFailedAfter = std::chrono::minutes{10};
/** Its incarnation is remembered for longer, so that a late rumour doesn't bring it back. */
constexpr Duration rememberForgottenFor = std::chrono::hours{24};
/** Forgotten incarnations kept at most; the oldest go first. 10,000 instances a day are replaced at design scale. */
constexpr std::size_t maximumForgotten = 20'000;

/** Time that a suspect has for its refutation. */
Duration suspicionTimeout(std::size_t fleetSize);

/** Belief about one member. */
struct MemberRecord {
    MemberUpdate update; ///< the largest rumour so far, with address and data centre kept
    TimePoint since; ///< time of the last change of state
    std::optional<TimePoint> heardAt; ///< last message from the member itself
    bool listed = false;
    bool listedLeaving = false;
    bool local = false; ///< suspected while this instance was deaf; withdrawn when the member is heard
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

    /** Notes a message from the member; withdraws a local suspicion of it. */
    void heardFrom(TimePoint now, const InstanceRef &ref);

    /** Suspects the member. A local suspicion is not to be passed on; otherwise returns the rumour. */
    std::optional<MemberUpdate> suspect(TimePoint now, const InstanceRef &ref, bool local);

    /** Turns old suspicions into failures, forgets old failures; returns rumours to pass on. */
    std::vector<MemberUpdate> expire(TimePoint now);

    /** Moves all deadlines by the length of a pause. */
    void shiftTimes(Duration gap);

    /** Treats all other members as unheard, after a silence so long that the beliefs are worthless. */
    void forgetBeliefs(TimePoint now);

    void applyList(TimePoint now, const InstanceList &list);

    const MemberUpdate &self() const;
    const MemberRecord *find(const InstanceId &id) const;
    const std::map<InstanceId, MemberRecord> &records() const;

    /** Rumour that the sender of an outdated belief about itself must hear; none when its belief is current. */
    std::optional<MemberUpdate> correctionFor(const MemberUpdate &own) const;

    /** Members not failed, self included. */
    std::size_t fleetSize() const;

    /** The view, rebuilt when something changed. */
    MembershipViewPointer view();

    void setStaleAddress(const InstanceRef &ref, const std::string &address);

private:
    struct Forgotten {
        MemberUpdate update;
        TimePoint at;
    };
    bool isForgotten(const MemberUpdate &update) const;
    void forget(TimePoint now, const MemberUpdate &update);
    void rebuild();

    InstanceId m_selfId;
    std::map<InstanceId, MemberRecord> m_records;
    std::map<InstanceId, Forgotten> m_forgotten;
    std::size_t m_fleetSize = 1;
    bool m_hasList = false;
    bool m_changed = true;
    std::uint64_t m_epoch = 0;
    MembershipViewPointer m_view;
};

} // namespace jackdawdoor::membership
