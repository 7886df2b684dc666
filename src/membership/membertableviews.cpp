// MemberTable: views, corrections and tombstones.
#include "membership/membertable.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::membership {

namespace {

/** A live member that the platform is about to stop appears as leaving in the view. */
MemberState publishedState(const MemberRecord &record)
{
    const bool leaving = record.update.state == MemberState::Live && record.listedLeaving == record.update.ref.incarnation;
    return leaving ? MemberState::Leaving : record.update.state;
}

} // namespace

const MemberUpdate &MemberTable::self() const
{
    return m_records.at(m_selfId).update;
}

const MemberRecord *MemberTable::find(const InstanceId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::map<InstanceId, MemberRecord> &MemberTable::records() const
{
    return m_records;
}

std::size_t MemberTable::fleetSize() const
{
    return m_fleetSize;
}

std::optional<MemberUpdate> MemberTable::correctionFor(const MemberUpdate &own) const
{
    const auto found = m_records.find(own.ref.id);
    if (found != m_records.end() && found->second.update.ref.incarnation != 0) {
        const MemberRecord &record = found->second;
        const MemberUpdate &known = record.update;
        const bool superseded = known.ref.incarnation > own.ref.incarnation;
        const bool suspected = known.ref == own.ref && known.refutation >= own.refutation && known.state >= MemberState::Suspect;
        return superseded || (suspected && !record.decidedInIsolation) ? std::optional{known} : std::nullopt;
    }
    const auto tombstone = m_tombstones.find(own.ref.id);
    const bool isOutdated = tombstone != m_tombstones.end() && coveredByTombstone(own);
    return isOutdated ? std::optional{tombstone->second.update} : std::nullopt;
}

void MemberTable::setStaleAddress(const InstanceRef &earlier, const std::string &address)
{
    const auto found = m_records.find(earlier.id);
    if (found != m_records.end() && earlier.incarnation < found->second.update.ref.incarnation) {
        found->second.staleAddress = address;
    }
}

bool MemberTable::coveredByTombstone(const MemberUpdate &update) const
{
    const auto found = m_tombstones.find(update.ref.id);
    if (found == m_tombstones.end()) {
        return false;
    }
    const MemberUpdate &last = found->second.update;
    return std::make_pair(update.ref.incarnation, update.refutation) <= std::make_pair(last.ref.incarnation, last.refutation);
}

void MemberTable::addTombstone(TimePoint now, const MemberUpdate &update)
{
    if (update.ref.incarnation == 0) {
        return;
    }
    MemberUpdate last = compactUpdate(update);
    last.state = MemberState::Failed;
    m_tombstones.insert_or_assign(update.ref.id, Tombstone{last, now});
    if (m_tombstones.size() > maximumTombstones) {
        const auto oldest = std::min_element(m_tombstones.begin(), m_tombstones.end(), [](const auto &left, const auto &right) {
            return left.second.at < right.second.at;
        });
        m_tombstones.erase(oldest);
    }
}

MembershipViewPointer MemberTable::view() const
{
    return m_view;
}

void MemberTable::publishView()
{
    if (!m_changed && m_view) {
        return;
    }
    m_changed = false;
    MembershipView view;
    view.self = self().ref;
    view.members.reserve(m_records.size());
    for (const auto &[id, record] : m_records) {
        const MemberState state = publishedState(record);
        view.members.push_back(
            Member{record.update.ref, record.update.address, record.update.dataCentre, state, record.update.callerAddress});
        const bool counted = record.listed || !m_hasList;
        view.listed += counted ? 1 : 0;
        view.visible += counted && (state == MemberState::Live || state == MemberState::Leaving) ? 1 : 0;
    }
    view.epoch = m_view ? m_view->epoch : 0;
    if (m_view && view == *m_view) {
        return;
    }
    ++view.epoch;
    m_view = std::make_shared<const MembershipView>(std::move(view));
}

} // namespace jackdawdoor::membership
