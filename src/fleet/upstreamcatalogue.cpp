#include "fleet/upstreamcatalogue.h"

#include "base/stablehash.h"

#include <algorithm>
#include <limits>
#include <set>

namespace jackdawdoor::fleet {

namespace {

/** The oldest tombstone is discarded when their number exceeds this limit. */
constexpr std::size_t maximumTombstones = 10000;
/** By then an upstream that is alive has written its entry to the restored store again, and a reader has read it. */
constexpr Duration confirmationTime = std::chrono::milliseconds{2500};

ReportNumber reportOf(const UpstreamEntry &entry)
{
    return {entry.incarnation, entry.sequence};
}

ReportNumber reportOf(const UpstreamTombstone &tombstone)
{
    return {tombstone.incarnation, tombstone.sequence};
}

bool isLaterPosition(const std::optional<StorePosition> &first, const std::optional<StorePosition> &second)
{
    const HistoryOrder history = compareHistories(first, second);
    return history == HistoryOrder::Same ? first->offset > second->offset : history == HistoryOrder::Later;
}

bool isNoLaterPosition(const std::optional<StorePosition> &first, const std::optional<StorePosition> &second)
{
    return compareHistories(first, second) == HistoryOrder::Same && first->offset <= second->offset;
}

} // namespace

/** Returns what is known of an upstream. absent: what holds for upstreams without an entry. */
std::optional<CatalogueState> UpstreamCatalogue::known(const UpstreamId &id, const std::optional<CatalogueState> &absent) const
{
    if (const UpstreamEntry *entry = find(id)) {
        return CatalogueState{false, reportOf(*entry), entry->position};
    }
    const auto stored = m_tombstones.find(id);
    if (stored == m_tombstones.end()) {
        return absent;
    }
    CatalogueState removed{true, reportOf(stored->second.tombstone), stored->second.tombstone.position};
    if (absent && isLaterPosition(absent->position, removed.position)) {
        removed.position = absent->position;
    }
    return removed;
}

/** Returns what the last full state says of the upstreams that it does not list. */
std::optional<CatalogueState> UpstreamCatalogue::absence() const
{
    constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    return m_complete ? std::optional(CatalogueState{true, {lowest, lowest}, positionBefore(*m_complete)}) : std::nullopt;
}

CatalogueChange UpstreamCatalogue::apply(const UpstreamEntry &entry)
{
    return apply(entry, absence());
}

CatalogueChange UpstreamCatalogue::apply(const UpstreamEntry &entry, const std::optional<CatalogueState> &absent)
{
    // The newest record of each upstream up to there is known already.
    if (absent && isNoLaterPosition(entry.position, absent->position)) {
        return CatalogueChange::Nothing;
    }
    confirm(entry);
    const auto before = known(entry.id, absent);
    if (before && !isNewer({false, reportOf(entry), entry.position}, *before)) {
        return CatalogueChange::Nothing;
    }
    ++m_revision;
    if (compareHistories(entry.position, m_complete) == HistoryOrder::Earlier) {
        m_unconfirmed.try_emplace(entry.id, Unconfirmed{std::nullopt, m_complete});
    }
    const auto [stored, isNew] = m_entries.try_emplace(entry.id, entry);
    if (isNew) {
        dropTombstone(entry.id);
        return CatalogueChange::Added;
    }
    const bool restarted = stored->second.incarnation != entry.incarnation;
    const bool same = sameContent(stored->second, entry);
    stored->second = entry;
    if (restarted) {
        return CatalogueChange::Added;
    }
    return same ? CatalogueChange::Nothing : CatalogueChange::Changed;
}

CatalogueChange UpstreamCatalogue::remove(const UpstreamId &id, const std::optional<StorePosition> &position)
{
    // A record of a removal states no report number; it removes whatever was reported before it.
    const auto before = known(id, std::nullopt);
    const ReportNumber report = before ? before->report : ReportNumber{};
    return remove(UpstreamTombstone{id, report.incarnation, report.sequence, position});
}

CatalogueChange UpstreamCatalogue::remove(const UpstreamTombstone &tombstone)
{
    const auto before = known(tombstone.id, absence());
    if (before && !isNewer({true, reportOf(tombstone), tombstone.position}, *before)) {
        return CatalogueChange::Nothing;
    }
    return bury(tombstone);
}

/** Removes the upstream, if it is known, and stores the tombstone. */
CatalogueChange UpstreamCatalogue::bury(const UpstreamTombstone &tombstone)
{
    ++m_revision;
    UpstreamTombstone merged = tombstone;
    if (const auto before = known(tombstone.id, std::nullopt)) {
        const ReportNumber highest = std::max(before->report, reportOf(tombstone));
        merged.incarnation = highest.incarnation;
        merged.sequence = highest.sequence;
        // A removal without a position is later than the record that it removes, and the upstream's return later still.
        merged.position = tombstone.position ? tombstone.position : before->position;
    }
    const bool wasPresent = m_entries.erase(tombstone.id) > 0;
    m_unconfirmed.erase(tombstone.id);
    storeTombstone(merged);
    return wasPresent ? CatalogueChange::Removed : CatalogueChange::Nothing;
}

void UpstreamCatalogue::storeTombstone(const UpstreamTombstone &tombstone)
{
    dropTombstone(tombstone.id);
    if (m_tombstones.size() >= maximumTombstones) {
        const UpstreamId oldest = m_tombstoneAges.begin()->second;
        dropTombstone(oldest);
    }
    m_tombstoneAges.emplace(m_nextTombstoneAge, tombstone.id);
    m_tombstones[tombstone.id] = {tombstone, m_nextTombstoneAge};
    ++m_nextTombstoneAge;
}

void UpstreamCatalogue::dropTombstone(const UpstreamId &id)
{
    if (const auto stored = m_tombstones.find(id); stored != m_tombstones.end()) {
        m_tombstoneAges.erase(stored->second.age);
        m_tombstones.erase(stored);
    }
}

/** An upstream that writes its latest report, or a later one, is alive. A late message of an earlier history is no sign of it. */
void UpstreamCatalogue::confirm(const UpstreamEntry &entry)
{
    const UpstreamEntry *present = find(entry.id);
    const bool isLate = compareHistories(entry.position, m_complete) == HistoryOrder::Earlier;
    if (present != nullptr && !isLate && reportOf(entry) >= reportOf(*present)) {
        m_unconfirmed.erase(entry.id);
    }
}

UpstreamCatalogue::Unlisted
UpstreamCatalogue::handling(const UpstreamEntry &entry, const std::optional<StorePosition> &through, Unlisted withoutPosition)
{
    switch (compareHistories(entry.position, through)) {
    case HistoryOrder::Same:
        return entry.position->offset < through->offset ? Unlisted::Remove : Unlisted::Keep;
    case HistoryOrder::Earlier:
        return Unlisted::Confirm;
    case HistoryOrder::Later:
        return Unlisted::Keep;
    default:
        return withoutPosition;
    }
}

/** Removes an entry that a full state lacks. The position of its removal isn't known, but records from the state's position on
 * are newer than it. */
CatalogueChange UpstreamCatalogue::removeUnlisted(const UpstreamEntry &entry, const std::optional<StorePosition> &through)
{
    const auto position = through ? positionBefore(*through) : std::nullopt;
    return bury({entry.id, entry.incarnation, entry.sequence, position});
}

bool UpstreamCatalogue::applyAll(const std::vector<UpstreamEntry> &entries,
                                 const std::optional<StorePosition> &through,
                                 Unlisted withoutPosition,
                                 const std::optional<TimePoint> &confirmUntil)
{
    const bool statesHistory = through && (through->history || !m_complete || !m_complete->history);
    const bool isLatest = statesHistory && !isLaterPosition(m_complete, through);
    // An entry that the latest full state lacks is applied only from a state that is at least as late.
    const auto absent = isLatest ? std::nullopt : absence();
    if (isLatest) {
        m_complete = through;
    }
    bool changed = false;
    std::set<UpstreamId> listed;
    for (const UpstreamEntry &entry : entries) {
        // An entry of an earlier history awaits confirmation at the sender. It is no record of the state's own history.
        if (compareHistories(entry.position, through) != HistoryOrder::Earlier) {
            listed.insert(entry.id);
        }
        changed = apply(entry, absent) != CatalogueChange::Nothing || changed;
    }
    std::vector<UpstreamEntry> gone;
    for (const auto &[id, entry] : m_entries) {
        const Unlisted what = listed.contains(id) ? Unlisted::Keep : handling(entry, through, withoutPosition);
        if (what == Unlisted::Remove) {
            gone.push_back(entry);
        } else if (what == Unlisted::Confirm) {
            m_unconfirmed.try_emplace(id, Unconfirmed{confirmUntil, through});
        }
    }
    for (const UpstreamEntry &entry : gone) {
        changed = removeUnlisted(entry, through) != CatalogueChange::Nothing || changed;
    }
    return changed;
}

bool UpstreamCatalogue::replace(const std::vector<UpstreamEntry> &entries, const std::optional<StorePosition> &through)
{
    return applyAll(entries, through, Unlisted::Remove, std::nullopt);
}

bool UpstreamCatalogue::merge(const std::vector<UpstreamEntry> &entries, const StorePosition &through)
{
    return applyAll(entries, through, Unlisted::Keep, std::nullopt);
}

bool UpstreamCatalogue::restore(TimePoint now, const std::vector<UpstreamEntry> &entries, const std::optional<StorePosition> &through)
{
    return applyAll(entries, through, Unlisted::Confirm, now + confirmationTime);
}

bool UpstreamCatalogue::expireUnconfirmed(TimePoint now)
{
    std::vector<UpstreamId> expired;
    for (auto &[id, unconfirmed] : m_unconfirmed) {
        if (!unconfirmed.until) {
            unconfirmed.until = now + confirmationTime;
        } else if (now >= *unconfirmed.until) {
            expired.push_back(id);
        }
    }
    bool removed = false;
    for (const UpstreamId &id : expired) {
        const auto through = m_unconfirmed.at(id).through;
        m_unconfirmed.erase(id);
        if (const UpstreamEntry *entry = find(id)) {
            removed = removeUnlisted(*entry, through) != CatalogueChange::Nothing || removed;
        }
    }
    return removed;
}

void UpstreamCatalogue::forgetHistoriesAfter(StoreHistoryNumber history)
{
    const auto forget = [history](std::optional<StorePosition> &position) {
        if (position && position->history && *position->history > history) {
            position.reset();
        }
    };
    ++m_revision;
    forget(m_complete);
    for (auto &[id, entry] : m_entries) {
        forget(entry.position);
    }
    for (auto &[id, stored] : m_tombstones) {
        forget(stored.tombstone.position);
    }
    for (auto &[id, unconfirmed] : m_unconfirmed) {
        forget(unconfirmed.through);
    }
}

std::optional<UpstreamTombstone> UpstreamCatalogue::tombstone(const UpstreamId &id) const
{
    const auto found = m_tombstones.find(id);
    return found == m_tombstones.end() ? std::nullopt : std::optional(found->second.tombstone);
}

std::vector<UpstreamEntry> UpstreamCatalogue::entries() const
{
    std::vector<UpstreamEntry> all;
    all.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        all.push_back(entry);
    }
    return all;
}

const UpstreamEntry *UpstreamCatalogue::find(const UpstreamId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::uint64_t UpstreamCatalogue::fingerprint() const
{
    std::uint64_t hash = 0;
    for (const auto &[id, entry] : m_entries) {
        hash = stableHash(id.value, hash);
        hash = stableHash(entry.service.value, hash);
        hash = stableHash(entry.address, hash);
        hash = stableHash(std::to_string(entry.incarnation), hash);
        hash = stableHash(std::to_string(entry.slots * 2 + static_cast<int>(entry.status)), hash);
        if (entry.position) {
            hash = stableHash(entry.position->history ? std::to_string(*entry.position->history) : "-", hash);
            hash = stableHash(std::to_string(entry.position->offset), hash);
        }
    }
    return hash;
}

std::uint64_t UpstreamCatalogue::revision() const
{
    return m_revision;
}

} // namespace jackdawdoor::fleet
