// Membership: probes, suspicions, verification and synchronisation.
#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::membership {

namespace {

bool isLive(const MemberRecord &record)
{
    return record.update.state == MemberState::Live;
}

/** Keeps up to `count` random elements. */
void sample(std::vector<InstanceRef> &candidates, std::size_t count, RandomSource &random)
{
    std::shuffle(candidates.begin(), candidates.end(), random);
    candidates.resize(std::min(count, candidates.size()));
}

} // namespace

MembershipMessages Membership::onTick(TimePoint now)
{
    if (!m_lastTick) {
        m_nextPeriod = now;
        m_lastReceived = now;
        m_nextSynchronisation = now;
        m_synchronisationEnd = now + synchronisationTimeout;
    } else if (now - *m_lastTick > pauseThreshold) {
        handlePause(now, now - *m_lastTick);
    }
    m_lastTick = now;
    if (m_paused && !hasPeers()) {
        m_paused = false;
    }
    updateIsolation(now);

    MembershipMessages out;
    concludeProbes(now, out);
    if (now >= m_nextScan) {
        m_nextScan = now + scanPeriod;
        verifySuspects(now, out);
        for (const MemberUpdate &expired : m_table.expire(now)) {
            m_gossip.add(expired);
        }
    }
    if (now >= m_nextPeriod) {
        m_nextPeriod = std::max(m_nextPeriod + pingPeriod, now + pingPeriod / 2);
        startProtocolPeriod(now, out);
    }
    synchronise(now, out);
    announceDeparture(now, out);
    m_table.publishView();
    return out;
}

void Membership::startProtocolPeriod(TimePoint now, MembershipMessages &out)
{
    std::erase_if(m_relays, [now](const auto &relay) {
        return now - relay.second.sentAt > 2 * pingPeriod;
    });
    if (const auto target = nextTarget()) {
        startProbe(now, *target, out);
    }
    // The instance that raised a suspicion keeps probing, so that the suspect learns of it by any path that works.
    if (m_suspected) {
        const MemberRecord *record = m_table.find(m_suspected->id);
        if (record != nullptr && record->update.ref == *m_suspected && record->update.state == MemberState::Suspect) {
            startProbe(now, *m_suspected, out);
            m_probes.back().targetSuspected = true;
            askHelpers(m_probes.back(), now, out);
        } else {
            m_suspected.reset();
        }
    }
    if (m_paused) {
        pingRandomMembers(indirectPings, out);
    }
    pingAbsentMembers(1, out);
}

void Membership::verifySuspects(TimePoint now, MembershipMessages &out)
{
    const auto underWay = std::count_if(m_probes.begin(), m_probes.end(), [](const Probe &probe) {
        return probe.targetSuspected;
    });
    auto room = static_cast<std::ptrdiff_t>(maximumVerifications) - underWay;
    for (const InstanceRef &suspect : m_table.suspectsToVerify(now, verificationTime)) {
        if (room-- <= 0) {
            break;
        }
        startProbe(now, suspect, out);
        m_probes.back().targetSuspected = true;
        askHelpers(m_probes.back(), now, out);
    }
}

void Membership::startProbe(TimePoint now, const InstanceRef &target, MembershipMessages &out)
{
    const std::uint64_t sequence = ++m_sequence;
    m_probes.push_back(Probe{target, sequence, now, 0, {}, false});
    out.push_back({target, Ping{sequence, false, {}, updatesFor(target)}});
}

void Membership::askHelpers(Probe &probe, TimePoint now, MembershipMessages &out)
{
    ++probe.helperRounds;
    for (const InstanceRef &helper : chooseHelpers(now, probe)) {
        probe.helpers.push_back(helper.id);
        const MemberRecord *record = m_table.find(probe.target.id);
        if (probe.targetSuspected && record != nullptr) {
            // The helper forwards the suspicion or knows its refutation; it needs no other updates.
            std::vector<MemberUpdate> updates = mandatoryUpdatesFor(helper);
            if (!record->decidedInIsolation) {
                updates.push_back(compactUpdate(record->update));
            }
            out.push_back({helper, PingRequest{probe.sequence, probe.target, std::move(updates)}});
            continue;
        }
        out.push_back({helper, PingRequest{probe.sequence, probe.target, updatesFor(helper)}});
    }
}

void Membership::concludeProbes(TimePoint now, MembershipMessages &out)
{
    for (Probe &probe : m_probes) {
        if (probe.helperRounds < 2 && now - probe.sentAt >= ackTimeout * (probe.helperRounds + 1)) {
            askHelpers(probe, now, out);
        }
    }
    std::vector<Probe> failed;
    std::erase_if(m_probes, [&failed, now](const Probe &probe) {
        const bool over = now - probe.sentAt >= pingPeriod;
        if (over) {
            failed.push_back(probe);
        }
        return over;
    });
    for (const Probe &probe : failed) {
        if (probe.targetSuspected) {
            continue;
        }
        ++m_failuresInRow;
        updateIsolation(now);
        if (const auto suspicion = m_table.suspect(now, probe.target)) {
            m_gossip.add(*suspicion);
            m_suspected = probe.target;
        }
    }
}

std::optional<InstanceRef> Membership::nextTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_round.empty()) {
            const MemberRecord *record = m_table.find(m_round.back());
            m_round.pop_back();
            if (record != nullptr && (isLive(*record) || record->update.state == MemberState::Leaving)) {
                return record->update.ref;
            }
        }
        // Each round probes every member once, in a new random order, which bounds the detection time.
        for (const auto &[id, record] : m_table.records()) {
            if (id != m_table.self().ref.id && (isLive(record) || record.update.state == MemberState::Leaving)) {
                m_round.push_back(id);
            }
        }
        std::shuffle(m_round.begin(), m_round.end(), m_random);
    }
    return std::nullopt;
}

std::vector<InstanceRef> Membership::chooseHelpers(TimePoint now, const Probe &probe)
{
    std::vector<InstanceRef> recent;
    std::vector<InstanceRef> others;
    for (const auto &[id, record] : m_table.records()) {
        const bool asked = std::find(probe.helpers.begin(), probe.helpers.end(), id) != probe.helpers.end();
        if (asked || id == probe.target.id || id == m_table.self().ref.id || !isLive(record)) {
            continue;
        }
        const bool answered = record.answeredAt && now - *record.answeredAt <= recentlyAnswered;
        (answered ? recent : others).push_back(record.update.ref);
    }
    sample(recent, indirectPings, m_random);
    sample(others, indirectPings - recent.size(), m_random);
    recent.insert(recent.end(), others.begin(), others.end());
    return recent;
}

void Membership::pingRandomMembers(std::size_t count, MembershipMessages &out)
{
    std::vector<InstanceRef> targets;
    for (const auto &[id, record] : m_table.records()) {
        if (id != m_table.self().ref.id && isLive(record)) {
            targets.push_back(record.update.ref);
        }
    }
    sample(targets, count, m_random);
    for (const InstanceRef &target : targets) {
        const std::uint64_t sequence = ++m_sequence;
        out.push_back({target, Ping{sequence, false, {}, updatesFor(target)}});
    }
}

void Membership::announceDeparture(TimePoint now, MembershipMessages &out)
{
    for (const InstanceRef &member : m_departure.due(now)) {
        out.push_back({member, Ping{++m_sequence, false, {}, updatesFor(member)}});
    }
}

/** Joining and failed members may be running behind a partition that heals. */
void Membership::pingAbsentMembers(std::size_t count, MembershipMessages &out)
{
    std::vector<InstanceRef> targets;
    for (const auto &[id, record] : m_table.records()) {
        const MemberState state = record.update.state;
        if (id != m_table.self().ref.id && (state == MemberState::Joining || state == MemberState::Failed)) {
            targets.push_back(InstanceRef{id, 0});
        }
    }
    sample(targets, count, m_random);
    // Gossip would be wasted on a member that is probably not running.
    for (const InstanceRef &target : targets) {
        out.push_back({target, Ping{++m_sequence, false, {}, mandatoryUpdatesFor(target)}});
    }
}

void Membership::synchronise(TimePoint now, MembershipMessages &out)
{
    if (!m_synchronising || now < m_nextSynchronisation) {
        return;
    }
    if (now >= m_synchronisationEnd && m_synchronisedThrough.empty()) {
        m_synchronising = false;
        return;
    }
    m_nextSynchronisation = now + synchronisationInterval;
    std::vector<InstanceRef> live;
    std::vector<InstanceRef> joining;
    for (const auto &[id, record] : m_table.records()) {
        if (id == m_table.self().ref.id) {
            continue;
        }
        if (isLive(record)) {
            live.push_back(record.update.ref);
        } else if (record.update.state == MemberState::Joining) {
            joining.push_back(InstanceRef{id, 0});
        }
    }
    std::vector<InstanceRef> &targets = live.empty() ? joining : live;
    sample(targets, 1, m_random);
    for (const InstanceRef &target : targets) {
        m_synchronisationSequence = ++m_sequence;
        out.push_back({target, Ping{m_synchronisationSequence, true, m_synchronisedThrough, updatesFor(target)}});
    }
}

void Membership::recordSynchronisedPage(const Ack &ack)
{
    m_synchronising = ack.morePages;
    // The last update may be a correction about this instance if the page is empty; a correction never follows a page.
    if (ack.updates.size() > 1 && ack.updates.back().ref.id != m_table.self().ref.id) {
        m_synchronisedThrough = std::max(m_synchronisedThrough, ack.updates.back().ref.id);
    }
}

bool Membership::hasPeers() const
{
    return std::any_of(m_table.records().begin(), m_table.records().end(), [this](const auto &item) {
        return item.first != m_table.self().ref.id && item.second.update.state != MemberState::Failed;
    });
}

} // namespace jackdawdoor::membership
