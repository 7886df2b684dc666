#include "membership/membership.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jackdawdoor::membership {

Membership::Membership(const Member &self, RandomSource &random)
    : m_random(random)
    , m_table(self)
{
}

MembershipMessages Membership::onPeerMessage(TimePoint now, const InstanceRef &from, const MembershipMessage &message)
{
    if (from == m_table.self().ref) {
        return {};
    }
    // After a pause, queued messages may be processed before the timer fires.
    if (m_lastTick && now - *m_lastTick > pauseThreshold) {
        handlePause(now, now - *m_lastTick);
        m_lastTick = now;
    }
    recordMessageReceived(now);
    MembershipMessages out;
    std::visit(
        [&](const auto &typed) {
            const std::vector<MemberUpdate> refutations = mergeUpdates(now, typed.updates);
            m_table.heardFrom(now, from);
            answer(now, from, typed, refutations, out);
        },
        message);
    m_table.publishView();
    return out;
}

MembershipMessages Membership::onInstanceList(TimePoint now, const InstanceList &list)
{
    m_table.applyList(now, list);
    m_table.publishView();
    MembershipMessages out;
    pingAbsentMembers(maximumDiscoveryPings, out);
    return out;
}

MembershipMessages Membership::beginLeave(TimePoint now)
{
    MemberUpdate own = m_table.self();
    own.state = MemberState::Leaving;
    ++own.refutation;
    m_table.setSelf(own);
    m_table.publishView();
    std::vector<InstanceRef> members;
    for (const auto &[id, record] : m_table.records()) {
        if (id != own.ref.id && record.update.state != MemberState::Failed) {
            members.push_back(record.update.ref);
        }
    }
    m_departureSequence = m_sequence + 1;
    m_departure.begin(now, members);
    MembershipMessages out;
    announceDeparture(now, out);
    return out;
}

MembershipViewPointer Membership::view() const
{
    return m_table.view();
}

bool Membership::rejoiningAfterPause(TimePoint now) const
{
    return m_paused || (m_lastTick && now - *m_lastTick > pauseThreshold);
}

std::uint64_t Membership::pauses() const
{
    return m_pauses;
}

bool Membership::superseded() const
{
    return m_superseded;
}

bool Membership::adoptHigherIncarnation()
{
    if (m_previousRunIncarnation == 0) {
        return false;
    }
    MemberUpdate own = m_table.self();
    own.ref.incarnation = std::exchange(m_previousRunIncarnation, 0) + 1;
    own.refutation = 0;
    m_table.setSelf(own);
    m_table.publishView();
    m_superseded = false;
    return true;
}

const InstanceRef &Membership::self() const
{
    return m_table.self().ref;
}

MembershipMessage Membership::discoveryPing()
{
    return Ping{++m_sequence, false, {}, {m_table.self()}};
}

std::string Membership::addressOf(const InstanceRef &receiver) const
{
    const MemberRecord *record = m_table.find(receiver.id);
    if (record == nullptr) {
        return {};
    }
    const bool earlierRun = receiver.incarnation != 0 && receiver.incarnation < record->update.ref.incarnation;
    return earlierRun && !record->staleAddress.empty() ? record->staleAddress : record->update.address;
}

void Membership::handlePause(TimePoint now, Duration gap)
{
    ++m_pauses;
    m_paused = true;
    m_firstSequenceAfterPause = m_sequence + 1;
    m_probes.clear();
    m_relays.clear();
    m_suspected.reset();
    m_failuresInRow = 0;
    m_nextPeriod = now;
    m_table.shiftSuspicions(gap);
    // Others may have declared this incarnation failed: a higher refutation number than in any update so far revives it.
    raiseRefutation(m_table.self().refutation);
    if (gap <= staleAfter) {
        m_lastReceived += gap;
    }
}

void Membership::recordMessageReceived(TimePoint now)
{
    if (m_lastTick && now - m_lastReceived > staleAfter && hasPeers()) {
        m_gossip.clear();
        m_table.resetToJoining(now);
        m_synchronising = true;
        m_synchronisedThrough = InstanceId{};
        m_nextSynchronisation = now;
        m_synchronisationEnd = now + synchronisationTimeout;
    }
    m_lastReceived = now;
    updateIsolation(now);
}

void Membership::updateIsolation(TimePoint now)
{
    const bool isolated = now - m_lastReceived > isolationTimeout || m_failuresInRow >= isolatedAfterFailures;
    m_table.setIsolated(isolated);
    if (isolated) {
        m_gossip.clear();
    }
}

/** Returns known refutations of suspicions and failures that the sender still holds. Without them a sender that missed a
 * refutation would later declare the member failed. */
std::vector<MemberUpdate> Membership::mergeUpdates(TimePoint now, const std::vector<MemberUpdate> &updates)
{
    std::vector<MemberUpdate> refutations;
    const std::size_t count = std::min(updates.size(), synchronisationPage + maximumGossipUpdates + 1);
    for (std::size_t index = 0; index < count; ++index) {
        const MemberUpdate &update = updates[index];
        if (update.ref.id == m_table.self().ref.id) {
            handleUpdateAboutSelf(update);
        } else if (const auto accepted = m_table.merge(now, update)) {
            m_gossip.add(*accepted);
        } else if (update.state >= MemberState::Suspect && refutations.size() < maximumGossipUpdates) {
            const MemberRecord *record = m_table.find(update.ref.id);
            const bool refuted = record != nullptr && record->update.ref == update.ref && record->update.state < MemberState::Suspect
                                 && record->update.refutation > update.refutation;
            if (refuted) {
                refutations.push_back(record->update);
            }
        }
    }
    return refutations;
}

void Membership::handleUpdateAboutSelf(const MemberUpdate &update)
{
    const MemberUpdate &own = m_table.self();
    if (update.ref.incarnation > own.ref.incarnation) {
        m_superseded = true;
        // Updates about suspect and failed incarnations carry no address.
        if (update.address.empty() || update.address == own.address) {
            m_previousRunIncarnation = std::max(m_previousRunIncarnation, update.ref.incarnation);
        }
    }
    if (update.ref != own.ref) {
        return;
    }
    const bool suspected = update.refutation == own.refutation && update.state >= MemberState::Suspect;
    if (suspected || update.refutation > own.refutation) {
        raiseRefutation(update.refutation);
    }
}

void Membership::raiseRefutation(std::uint32_t above)
{
    if (above == std::numeric_limits<std::uint32_t>::max()) {
        return;
    }
    MemberUpdate own = m_table.self();
    own.refutation = above + 1;
    m_table.setSelf(own);
}

/** The update about this instance itself, and any suspicion or failure of the receiver, so that it can refute it. */
std::vector<MemberUpdate> Membership::mandatoryUpdatesFor(const InstanceRef &receiver) const
{
    std::vector<MemberUpdate> updates{m_table.self()};
    const MemberRecord *record = m_table.find(receiver.id);
    if (record != nullptr && !record->decidedInIsolation && record->update.state >= MemberState::Suspect) {
        updates.push_back(compactUpdate(record->update));
    }
    return updates;
}

std::vector<MemberUpdate> Membership::updatesFor(const InstanceRef &receiver)
{
    std::vector<MemberUpdate> updates = mandatoryUpdatesFor(receiver);
    for (MemberUpdate &queued : m_gossip.take(maximumGossipUpdates + 1 - updates.size(), m_table.fleetSize())) {
        updates.push_back(std::move(queued));
    }
    return updates;
}

void Membership::answer(TimePoint,
                        const InstanceRef &from,
                        const Ping &ping,
                        const std::vector<MemberUpdate> &refutations,
                        MembershipMessages &out)
{
    Ack ack;
    ack.sequence = ping.sequence;
    ack.answered = m_table.self().ref;
    if (ping.synchronise) {
        appendPage(from.id, ping, ack);
    } else {
        ack.updates = updatesFor(from);
        ack.updates.insert(ack.updates.end(), refutations.begin(), refutations.end());
    }
    if (!ping.updates.empty() && ping.updates.front().ref == from) {
        const MemberUpdate &sender = ping.updates.front();
        if (const auto correction = m_table.correctionFor(sender)) {
            ack.updates.insert(ack.updates.begin() + 1, *correction);
            m_table.setStaleAddress(from, sender.address);
        }
    }
    out.push_back({from, ack});
}

void Membership::answer(TimePoint now,
                        const InstanceRef &from,
                        const PingRequest &request,
                        const std::vector<MemberUpdate> &refutations,
                        MembershipMessages &out)
{
    if (!refutations.empty()) {
        Ack ack{request.sequence, m_table.self().ref, false, {m_table.self()}};
        ack.updates.insert(ack.updates.end(), refutations.begin(), refutations.end());
        out.push_back({from, std::move(ack)});
    }
    const std::uint64_t sequence = ++m_sequence;
    m_relays.emplace(sequence, Relay{from, request.sequence, now});
    out.push_back({request.target, Ping{sequence, false, {}, updatesFor(request.target)}});
}

void Membership::answer(TimePoint now, const InstanceRef &from, const Ack &ack, const std::vector<MemberUpdate> &, MembershipMessages &out)
{
    if (ack.sequence == 0 || ack.sequence > m_sequence) {
        return;
    }
    m_failuresInRow = 0;
    if (ack.answered == from) {
        m_table.answeredBy(now, from);
        if (m_departureSequence != 0 && ack.sequence >= m_departureSequence) {
            m_departure.acknowledge(from.id);
        }
    }
    if (ack.sequence >= m_firstSequenceAfterPause) {
        m_paused = false;
    }
    if (m_synchronising && ack.sequence == m_synchronisationSequence) {
        recordSynchronisedPage(ack);
    }
    const auto relay = m_relays.find(ack.sequence);
    if (relay != m_relays.end()) {
        const InstanceRef requester = relay->second.requester;
        std::vector<MemberUpdate> updates = updatesFor(requester);
        // The requester needs the target's own update, which may be a refutation.
        if (const MemberRecord *target = m_table.find(ack.answered.id); target != nullptr && target->update.ref == ack.answered) {
            updates.insert(updates.begin() + 1, target->update);
        }
        out.push_back({requester, Ack{relay->second.requesterSequence, ack.answered, false, std::move(updates)}});
        m_relays.erase(relay);
    }
    m_table.extendSuspicion(now, ack.answered);
    std::erase_if(m_probes, [&ack](const Probe &probe) {
        return probe.sequence == ack.sequence && probe.target.id == ack.answered.id;
    });
}

void Membership::appendPage(const InstanceId &reader, const Ping &ping, Ack &ack) const
{
    ack.updates.push_back(m_table.self());
    ack.morePages = m_synchronising;
    if (m_synchronising) {
        return;
    }
    const auto &records = m_table.records();
    for (auto item = records.upper_bound(ping.after); item != records.end(); ++item) {
        const MemberUpdate &update = item->second.update;
        const bool inFleet = update.state != MemberState::Joining && update.state != MemberState::Failed;
        if (!inFleet || item->first == reader || item->first == m_table.self().ref.id || item->second.decidedInIsolation) {
            continue;
        }
        if (ack.updates.size() > synchronisationPage) {
            ack.morePages = true;
            return;
        }
        ack.updates.push_back(update);
    }
}

} // namespace jackdawdoor::membership
