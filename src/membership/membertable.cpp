#include "membership/membertable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jackdawdoor::membership {

namespace {

auto precedence(const MemberUpdate &update)
{
    return std::make_tuple(update.ref.incarnation, update.refutation, update.state);
}

bool inFleet(MemberState state)
{
    return state == MemberState::Live || state == MemberState::Leaving || state == MemberState::Suspect;
}

} // namespace

Duration suspicionTimeout(std::size_t fleetSize)
{
    return suspicionBase + fromSeconds(std::log10(static_cast<double>(std::max<std::size_t>(fleetSize, 1))));
}

MemberUpdate compactUpdate(MemberUpdate update)
{
    if (update.state == MemberState::Suspect || update.state == MemberState::Failed) {
        update.address.clear();
        update.dataCentre.value.clear();
        update.callerAddress.clear();
    }
    return update;
}

MemberTable::MemberTable(const Member &self)
    : m_selfId(self.ref.id)
{
    MemberRecord record;
    record.update = MemberUpdate{self.ref, 0, MemberState::Live, self.address, self.dataCentre, self.callerAddress};
    m_records.emplace(m_selfId, record);
    publishView();
}

bool MemberTable::replaces(const MemberUpdate &update, const MemberRecord &record) const
{
    if (precedence(update) > precedence(record.update)) {
        return true;
    }
    const bool sameRun = update.ref == record.update.ref && update.refutation == record.update.refutation;
    return record.decidedInIsolation && !m_isolated && sameRun && update.state < record.update.state;
}

std::optional<MemberUpdate> MemberTable::merge(TimePoint now, const MemberUpdate &update)
{
    if (update.ref.id == m_selfId || update.ref.id.empty() || update.ref.incarnation == 0 || update.state == MemberState::Joining) {
        return std::nullopt;
    }
    const auto found = m_records.find(update.ref.id);
    if (found == m_records.end()) {
        return mergeUnknown(now, update);
    }
    MemberRecord &record = found->second;
    if (!replaces(update, record) || coveredByTombstone(update)) {
        return std::nullopt;
    }
    if (update.ref != record.update.ref) {
        record.answeredAt.reset();
        record.staleAddress.clear();
        m_changed = true;
    }
    record.decidedInIsolation = false;
    record.update.ref = update.ref;
    record.update.refutation = update.refutation;
    const bool moved = update.address != record.update.address || update.dataCentre != record.update.dataCentre
                       || update.callerAddress != record.update.callerAddress;
    if (!update.address.empty() && moved) {
        record.update.address = update.address;
        record.update.dataCentre = update.dataCentre;
        record.update.callerAddress = update.callerAddress;
        m_changed = true;
    }
    setState(now, record, update.state);
    record.since = now;
    record.verificationSent = false;
    return compactUpdate(record.update);
}

std::optional<MemberUpdate> MemberTable::mergeUnknown(TimePoint now, const MemberUpdate &update)
{
    if (coveredByTombstone(update)) {
        return std::nullopt;
    }
    if (update.state == MemberState::Failed) {
        addTombstone(now, update);
        return std::nullopt;
    }
    // Without an address the member could not be reached. Updates about suspects carry none; a member known only as a suspect
    // is of no use.
    if (update.address.empty()) {
        return std::nullopt;
    }
    MemberRecord &record = m_records[update.ref.id];
    record.update = update;
    record.update.state = MemberState::Joining;
    setState(now, record, update.state);
    return compactUpdate(update);
}

void MemberTable::setState(TimePoint now, MemberRecord &record, MemberState state)
{
    if (record.update.state == state) {
        return;
    }
    m_fleetSize += inFleet(state) ? 1 : 0;
    m_fleetSize -= inFleet(record.update.state) ? 1 : 0;
    m_suspects += state == MemberState::Suspect ? 1 : 0;
    m_suspects -= record.update.state == MemberState::Suspect ? 1 : 0;
    record.update.state = state;
    record.since = now;
    m_changed = true;
}

void MemberTable::setSelf(const MemberUpdate &update)
{
    MemberRecord &record = m_records.at(m_selfId);
    m_changed = m_changed || record.update.state != update.state || record.update.ref != update.ref;
    record.update = update;
}

void MemberTable::setIsolated(bool isolated)
{
    m_isolated = isolated;
}

void MemberTable::heardFrom(TimePoint now, const InstanceRef &ref)
{
    const auto found = m_records.find(ref.id);
    if (found == m_records.end() || found->second.update.ref != ref) {
        return;
    }
    MemberRecord &record = found->second;
    if (record.decidedInIsolation && !m_isolated) {
        record.decidedInIsolation = false;
        setState(now, record, MemberState::Live);
    }
}

void MemberTable::answeredBy(TimePoint now, const InstanceRef &ref)
{
    const auto found = m_records.find(ref.id);
    if (found != m_records.end() && found->second.update.ref == ref) {
        found->second.answeredAt = now;
    }
}

std::optional<MemberUpdate> MemberTable::suspect(TimePoint now, const InstanceRef &ref)
{
    const auto found = m_records.find(ref.id);
    if (found == m_records.end() || found->second.update.ref != ref) {
        return std::nullopt;
    }
    MemberRecord &record = found->second;
    if (record.update.state != MemberState::Live && record.update.state != MemberState::Leaving) {
        return std::nullopt;
    }
    record.decidedInIsolation = m_isolated;
    record.verificationSent = false;
    setState(now, record, MemberState::Suspect);
    return record.decidedInIsolation ? std::nullopt : std::optional{compactUpdate(record.update)};
}

std::vector<InstanceRef> MemberTable::suspectsToVerify(TimePoint now, Duration margin)
{
    std::vector<InstanceRef> found;
    if (m_suspects == 0) {
        return found;
    }
    const Duration timeout = suspicionTimeout(m_fleetSize);
    for (auto &[id, record] : m_records) {
        const bool due = record.update.state == MemberState::Suspect && now - record.since >= timeout - margin;
        if (due && !record.verificationSent) {
            record.verificationSent = true;
            found.push_back(record.update.ref);
        }
    }
    return found;
}

void MemberTable::extendSuspicion(TimePoint now, const InstanceRef &ref)
{
    const auto found = m_records.find(ref.id);
    if (found != m_records.end() && found->second.update.ref == ref && found->second.update.state == MemberState::Suspect) {
        found->second.since = now;
        found->second.verificationSent = false;
    }
}

std::vector<MemberUpdate> MemberTable::expire(TimePoint now)
{
    std::vector<MemberUpdate> updates;
    // Nothing can expire while all members are live or leaving; avoids a scan in the common case.
    if (m_suspects == 0 && m_fleetSize == m_records.size() && m_tombstones.empty()) {
        return updates;
    }
    const Duration timeout = suspicionTimeout(m_fleetSize);
    for (auto item = m_records.begin(); item != m_records.end();) {
        MemberRecord &record = item->second;
        if (record.update.state == MemberState::Suspect && now - record.since >= timeout) {
            setState(now, record, MemberState::Failed);
            record.decidedInIsolation = record.decidedInIsolation || m_isolated;
            if (!record.decidedInIsolation) {
                updates.push_back(compactUpdate(record.update));
            }
        }
        const bool absent = record.update.state == MemberState::Failed || record.update.state == MemberState::Joining;
        if (absent && !record.listed && item->first != m_selfId && now - record.since >= failedRetention) {
            addTombstone(now, record.update);
            item = m_records.erase(item);
            m_changed = true;
        } else {
            ++item;
        }
    }
    std::erase_if(m_tombstones, [now](const auto &entry) {
        return now - entry.second.at >= tombstoneLifetime;
    });
    return updates;
}

void MemberTable::shiftSuspicions(Duration gap)
{
    for (auto &[id, record] : m_records) {
        if (record.update.state == MemberState::Suspect) {
            record.since += gap;
        }
    }
}

void MemberTable::resetToJoining(TimePoint now)
{
    for (auto &[id, record] : m_records) {
        if (id == m_selfId) {
            continue;
        }
        record.decidedInIsolation = false;
        record.answeredAt.reset();
        setState(now, record, MemberState::Joining);
    }
}

void MemberTable::applyList(TimePoint now, const InstanceList &list)
{
    if (list.instances.empty()) {
        return;
    }
    m_hasList = true;
    m_changed = true;
    for (auto &[id, record] : m_records) {
        record.listed = false;
    }
    for (const ListedInstance &listed : list.instances) {
        const bool known = m_records.count(listed.id) != 0;
        MemberRecord &record = m_records[listed.id];
        record.listed = true;
        if (!known) {
            record.update.ref.id = listed.id;
            record.update.state = MemberState::Joining;
            record.since = now;
        }
        // An address that the member itself sent takes precedence over the list, which lags behind.
        if (record.update.state == MemberState::Joining) {
            record.update.address = listed.address;
            record.update.dataCentre = listed.dataCentre;
        }
        if (!listed.leaving) {
            record.listedLeaving.reset();
        } else if (!record.listedLeaving) {
            record.listedLeaving = record.update.ref.incarnation;
        }
    }
    std::erase_if(m_records, [this](const auto &item) {
        const MemberRecord &record = item.second;
        return !record.listed && record.update.ref.incarnation == 0 && item.first != m_selfId;
    });
}

} // namespace jackdawdoor::membership
