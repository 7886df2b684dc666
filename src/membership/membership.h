/** SWIM-style failure detector of one instance.
 *
 * Each second the instance pings one member. Without an answer it asks three others to ping that member, then suspects
 * it. A suspect that doesn't refute in time is declared failed. Updates are piggybacked on pings and acks.
 *
 * Updates about one id are ordered by incarnation, then refutation number, then state (see MemberState). Only the
 * greatest counts, so that all instances converge on the same state whatever the order of delivery.
 */
#pragma once

#include "base/outgoing.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/departureannouncement.h"
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
/** Well above the round trip of 1 ms between data centres, and short enough for two rounds of indirect pings per period. */
constexpr Duration ackTimeout = std::chrono::milliseconds{300};
/** Members asked to ping an unresponsive one, in each of two rounds. Placement skips suspects, so that a false suspicion
 * moves callers; the second round makes one rare under one-way losses and does not delay detection. */
constexpr std::size_t indirectPings = 3;
/** A gap between ticks that counts as a pause of the process: longer than a slot lease, so that this instance's leases may
 * have expired unnoticed. */
constexpr Duration pauseThreshold = std::chrono::seconds{2};
/** Without any message for this long an instance considers itself isolated and does not gossip about others. */
constexpr Duration isolationTimeout = std::chrono::seconds{3};
/** Likewise after this many failed probes in a row: lost messages of its own are likelier than so many failed members. */
constexpr int isolatedAfterFailures = 3;
/** Time before a suspicion times out at which the instance probes the suspect once more, directly and indirectly. A
 * refutation may have been lost, and a single instance that missed it would declare the member failed for the whole fleet. */
constexpr Duration verificationTime = pingPeriod;
/** Concurrent verifications at most, so that the loss of a whole data centre doesn't cause a burst of pings. */
constexpr std::size_t maximumVerifications = 4;
/** Interval between scans of the table for suspicions that time out; short compared with timeouts of seconds. */
constexpr Duration scanPeriod = std::chrono::milliseconds{250};
/** Indirect pings preferably go through members that answered this instance directly within this time, since messages
 * pass in both directions. */
constexpr Duration recentlyAnswered = std::chrono::seconds{10};
/** After a longer silence or pause the member states are too old to gossip; the instance synchronises again. */
constexpr Duration staleAfter = std::chrono::seconds{60};
/** Interval between pages of a synchronisation, which takes 20 s at 4,100 members. */
constexpr Duration synchronisationInterval = std::chrono::milliseconds{200};
/** Time that a starting instance looks for a member which has finished its own synchronisation. */
constexpr Duration synchronisationTimeout = std::chrono::seconds{10};

/** Joining or failed members pinged at most when an instance list arrives. A fleet that starts as a whole thus discovers
 * itself with one list instead of after a minute of single pings. */
constexpr std::size_t maximumDiscoveryPings = 160;

using MembershipMessages = std::vector<Outgoing<MembershipMessage>>;

/** Failure detector and member table of one instance. onTick() should be called about every 100 ms. */
class Membership
{
public:
    /** The state of `self` is assumed to be Live. The random source must outlive this object. */
    Membership(const Member &self, RandomSource &random);

    /** Sends pings, raises and times out suspicions, detects pauses. */
    MembershipMessages onTick(TimePoint now);

    /** Merges the updates of a message from any sender and answers pings. */
    MembershipMessages onPeerMessage(TimePoint now, const InstanceRef &from, const MembershipMessage &message);

    /** Adds unknown instances as Joining and marks leaving ones. An empty list is ignored: the last one is kept. */
    MembershipMessages onInstanceList(TimePoint now, const InstanceList &list);

    /** Announces to all members that this instance shuts down. It keeps answering pings. */
    MembershipMessages beginLeave(TimePoint now);

    /** The current view of the fleet; never null. */
    MembershipViewPointer view() const;

    /** True from a pause of this process until another member has answered a ping sent after it. Leases must be dropped and
     * non-idempotent requests refused meanwhile. Without other members it ends at the next tick. */
    bool rejoiningAfterPause(TimePoint now) const;

    /** Number of pauses detected; leases must be dropped when it changes. */
    std::uint64_t pauses() const;

    /** True when a later incarnation of this id is known: this process must stop serving, unless that was its own previous
     * run (see adoptHigherIncarnation()). */
    bool superseded() const;

    /** Adopts an incarnation above the greatest known one if that belongs to a previous run of this instance at the same
     * address. This happens when the clock from which this run took its incarnation had been set back. False if there was
     * nothing to do. */
    bool adoptHigherIncarnation();

    /** Id and incarnation of this instance. */
    const InstanceRef &self() const;

    /** A ping for an address at which an instance may be listening, such as a seed. */
    MembershipMessage discoveryPing();

    /** Address to which messages for this receiver are sent; empty when unknown. */
    std::string addressOf(const InstanceRef &receiver) const;

private:
    struct Probe {
        InstanceRef target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        int helperRounds = 0; ///< rounds of indirect pings sent
        std::vector<InstanceId> helpers; ///< members already asked to ping the target
        bool targetSuspected = false; ///< the target was a suspect when the probe started
    };
    struct Relay {
        InstanceRef requester;
        std::uint64_t requesterSequence = 0;
        TimePoint sentAt;
    };

    // membership.cpp: messages and updates
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

    // membershipprobes.cpp: probes and synchronisation
    void startProtocolPeriod(TimePoint now, MembershipMessages &out);
    void startProbe(TimePoint now, const InstanceRef &target, MembershipMessages &out);
    void askHelpers(Probe &probe, TimePoint now, MembershipMessages &out);
    void verifySuspects(TimePoint now, MembershipMessages &out);
    void concludeProbes(TimePoint now, MembershipMessages &out);
    void pingRandomMembers(std::size_t count, MembershipMessages &out);
    void announceDeparture(TimePoint now, MembershipMessages &out);
    void pingAbsentMembers(std::size_t count, MembershipMessages &out);
    void synchronise(TimePoint now, MembershipMessages &out);
    std::optional<InstanceRef> nextTarget();
    std::vector<InstanceRef> chooseHelpers(TimePoint now, const Probe &probe);
    bool hasPeers() const;

    RandomSource &m_random;
    MemberTable m_table;
    GossipQueue m_gossip;
    DepartureAnnouncement m_departure;
    std::uint64_t m_departureSequence = 0; ///< of its first ping; zero before the departure
    std::vector<Probe> m_probes; ///< unanswered
    std::map<std::uint64_t, Relay> m_relays; ///< pings on behalf of other members, by this instance's sequence number
    std::vector<InstanceId> m_round; ///< members still to be probed in this round, in random order
    std::optional<InstanceRef> m_suspected; ///< the member that this instance suspected last and keeps probing
    std::uint64_t m_sequence = 0;
    int m_failuresInRow = 0;

    std::uint64_t m_pauses = 0;
    bool m_paused = false;
    std::uint64_t m_firstSequenceAfterPause = 0;
    bool m_superseded = false;
    Incarnation m_previousRunIncarnation = 0; ///< greater than this run's, at the same address; zero if none is known

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
