/** SWIM-style failure detector of one instance.
 *
 * Each second the instance pings one member; without an answer it asks three others to ping it, then suspects it. A
 * suspect that doesn't refute in time has failed. Rumours travel on the pings and their answers.
 *
 * Rumours about one id are ordered by incarnation, then refutation number, then state (see MemberState), and only the
 * largest counts, so that all instances come to the same belief in whatever order they hear them.
 */
#pragma once

#include "base/outgoing.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/gossipqueue.h"
#include "membership/instancelist.h"
#include "membership/membershipmessage.h"
#include "membership/membershipview.h"
#include "membership/membertable.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::membership {

constexpr Duration pingPeriod = std::chrono::seconds{1};
/** Well above the round trip of 1 ms between data centres, and short enough for two rounds of indirect pings. */
constexpr Duration ackTimeout = std::chrono::milliseconds{300};
/** Members asked to ping a silent one, in each of two rounds. A suspect loses its rank, so that a false suspicion moves
 * callers; the second round makes one rare under one-way losses and delays no detection. */
constexpr std::size_t indirectPings = 3;
/** A gap between ticks longer than a slot lease means that this instance's leases may have lapsed unnoticed. */
constexpr Duration pauseThreshold = std::chrono::seconds{2};
/** Without any message for this long an instance takes itself for isolated and spreads no rumours about others. */
constexpr Duration isolationTimeout = std::chrono::seconds{3};
/** Likewise after this many failed probes in a row: more likely its own messages are lost than all those members. */
constexpr int isolatedAfterFailures = 3;
/** Before an instance itself declares a suspect failed, it probes it once more by all paths: a refutation may have been
 * lost on the way here, and a single instance that missed it would make the suspect fail everywhere. */
constexpr Duration verificationTime = pingPeriod;
/** Verifications under way at most, so that the loss of a whole data centre doesn't cause a burst of pings. */
constexpr std::size_t maximumVerifications = 4;
/** Time between two scans of the table for suspicions that end. Four scans a second are enough for timeouts of seconds. */
constexpr Duration scanPeriod = std::chrono::milliseconds{250};
/** Helpers are preferably members that answered this instance directly in this time: both ways to them work. */
constexpr Duration recentlyAnswered = std::chrono::seconds{10};
/** After a longer silence or pause the beliefs are too old to pass on; the instance synchronises anew. */
constexpr Duration staleAfter = std::chrono::seconds{60};
/** Pages of a synchronisation are this far apart. At 4,100 members it takes 20 s. */
constexpr Duration synchronisationInterval = std::chrono::milliseconds{200};
/** A starting instance looks this long for a member that has finished its own synchronisation. */
constexpr Duration synchronisationTimeout = std::chrono::seconds{10};

/** Listed instances that were never heard of and are pinged when a list arrives, so that a fleet that starts as a whole
 * knows itself within one list and not after a minute of single pings. */
constexpr std::size_t maximumDiscoveryPings = 160;

using MembershipMessages = std::vector<Outgoing<MembershipMessage>>;

/** Failure detector and member table of one instance. Tick it every 100 ms or so. */
class Membership
{
public:
    /** The state of `self` is taken as Live. The random source must outlive this object. */
    Membership(const Member &self, RandomSource &random);

    /** Pings, raises and expires suspicions, notices pauses. */
    MembershipMessages onTick(TimePoint now);

    /** Takes rumours from any sender; answers pings. */
    MembershipMessages onPeerMessage(TimePoint now, const InstanceRef &from, const MembershipMessage &message);

    /** Adds candidates and marks leaving members. An empty list is ignored: the last one is kept. */
    MembershipMessages onInstanceList(TimePoint now, const InstanceList &list);

    /** Announces that this instance stops. It keeps answering pings. */
    MembershipMessages beginLeave(TimePoint now);

    /** The current picture of the fleet; never null. */
    MembershipViewPointer view() const;

    /** True from a pause on until another member has answered a ping sent since; drop leases and refuse
     * non-idempotent dispatch meanwhile. Without other members the next tick ends it. */
    bool rejoiningAfterPause(TimePoint now) const;

    /** Number of pauses noticed; a change tells that leases must be dropped. */
    std::uint64_t pauses() const;

    /** True when a later incarnation of this id is known: this process must stop serving, unless that was its own former
     * run (see adoptHigherIncarnation). */
    bool superseded() const;

    /** Takes an incarnation after the known one when that was a former run of this instance at the same address: the clock
     * from which this run took its incarnation had been set back. False when nothing had to be done. */
    bool adoptHigherIncarnation();

    /** This run of the instance. */
    const InstanceRef &self() const;

    /** A ping for an address at which some instance may listen. */
    MembershipMessage discoveryPing();

    /** Address to which a message to this receiver goes; empty when unknown. */
    std::string addressOf(const InstanceRef &receiver) const;

private:
    struct Probe {
        InstanceRef target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        int helperRounds = 0; ///< rounds of indirect pings that are out
        std::vector<InstanceId> helpers; ///< those asked
        bool targetSuspected = false; ///< of a member already suspected
    };
    struct Relay {
        InstanceRef requester;
        std::uint64_t requesterSequence = 0;
        TimePoint sentAt;
    };

    // membership.cpp: messages and rumours
    void handlePause(TimePoint now, Duration gap);
    void recordMessageReceived(TimePoint now);
    void updateIsolation(TimePoint now);
    std::vector<MemberUpdate> mergeUpdates(TimePoint now, const std::vector<MemberUpdate> &updates);
    void handleUpdateAboutSelf(const MemberUpdate &update);
    void raiseRefutation(std::uint32_t above);
    std::vector<MemberUpdate> mandatoryUpdatesFor(const InstanceRef &receiver) const;
    std::vector<MemberUpdate> updatesFor(const InstanceRef &receiver);
    void
    answer(TimePoint now, const InstanceRef &from, const Ping &ping, const std::vector<MemberUpdate> &refutations, MembershipMessages &out);
    void answer(TimePoint now,
                const InstanceRef &from,
                const PingRequest &request,
                const std::vector<MemberUpdate> &refutations,
                MembershipMessages &out);
    void
    answer(TimePoint now, const InstanceRef &from, const Ack &ack, const std::vector<MemberUpdate> &refutations, MembershipMessages &out);
    void appendPage(const InstanceId &reader, const Ping &ping, Ack &ack) const;
    void recordSynchronisedPage(const Ack &ack);

    // membershipprobes.cpp: pings on own account
    void startProtocolPeriod(TimePoint now, MembershipMessages &out);
    void startProbe(TimePoint now, const InstanceRef &target, MembershipMessages &out);
    void askHelpers(Probe &probe, TimePoint now, MembershipMessages &out);
    void verifySuspects(TimePoint now, MembershipMessages &out);
    void concludeProbes(TimePoint now, MembershipMessages &out);
    void pingRandomMembers(std::size_t count, MembershipMessages &out);
    void pingAbsentMembers(std::size_t count, MembershipMessages &out);
    void synchronise(TimePoint now, MembershipMessages &out);
    std::optional<InstanceRef> nextTarget();
    std::vector<InstanceRef> chooseHelpers(TimePoint now, const Probe &probe);
    bool hasPeers() const;

    RandomSource &m_random;
    MemberTable m_table;
    GossipQueue m_gossip;
    std::vector<Probe> m_probes; ///< not answered yet
    std::map<std::uint64_t, Relay> m_relays; ///< pings sent on behalf of others, by this instance's sequence number
    std::vector<InstanceId> m_round; ///< members still to ping in this round, in random order
    std::optional<InstanceRef> m_suspected; ///< suspicion that this instance raised and keeps probing
    std::uint64_t m_sequence = 0;
    int m_failuresInRow = 0;

    std::uint64_t m_pauses = 0;
    bool m_paused = false;
    std::uint64_t m_firstSequenceAfterPause = 0;
    bool m_superseded = false;
    Incarnation m_previousRunIncarnation = 0; ///< later than this run's, at this run's address; zero: none is known

    bool m_synchronising = true;
    std::uint64_t m_synchronisationSequence = 0;
    InstanceId m_synchronisedThrough;
    TimePoint m_nextSynchronisation;
    TimePoint m_synchronisationEnd;

    std::optional<TimePoint> m_lastTick;
    TimePoint m_nextPeriod;
    TimePoint m_nextScan;
    TimePoint m_lastReceived;
};

} // namespace jackdawdoor::membership
