#include "fleet/upstreamcatalogue.h"

#include "base/stablehash.h"

#include <set>

namespace jackdawdoor::fleet {

namespace {

/** All tombstones are discarded when their number reaches this limit. */
constexpr std::size_t maximumTombstones = 10000;
/** By then an upstream that is alive has written its entry to the restored store again, and a reader has read it. */
constexpr Duration confirmationTime = std::chrono::milliseconds{2500};

} // namespace

bool UpstreamCatalogue::outdated(const UpstreamEntry &entry) const
{
    const auto isOld = [&entry](std::int64_t incarnation, std::int64_t sequence) {
        return entry.incarnation < incarnation || (entry.incarnation == incarnation && entry.sequence <= sequence);
    };
    if (const auto known = m_entries.find(entry.id); known != m_entries.end()) {
        return isOld(known->second.incarnation, known->second.sequence);
    }
    const auto tombstone = m_tombstones.find(entry.id);
    return tombstone != m_tombstones.end() && isOld(tombstone->second.incarnation, tombstone->second.sequence);
}

CatalogueChange UpstreamCatalogue::apply(const UpstreamEntry &entry)
{
    confirm(entry);
    if (outdated(entry)) {
        return CatalogueChange::Nothing;
    }
    const auto [known, isNew] = m_entries.try_emplace(entry.id, entry);
    if (isNew) {
        m_tombstones.erase(entry.id);
        return CatalogueChange::Added;
    }
    const bool restarted = known->second.incarnation != entry.incarnation;
    const bool same = sameContent(known->second, entry);
    known->second = entry;
    if (restarted) {
        return CatalogueChange::Added;
    }
    return same ? CatalogueChange::Nothing : CatalogueChange::Changed;
}

CatalogueChange UpstreamCatalogue::remove(const UpstreamId &id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return CatalogueChange::Nothing;
    }
    if (m_tombstones.size() >= maximumTombstones) {
        m_tombstones.clear();
    }
    m_tombstones[id] = {id, known->second.incarnation, known->second.sequence};
    m_entries.erase(known);
    m_unconfirmed.erase(id);
    return CatalogueChange::Removed;
}

/** An upstream that writes its latest report, or a later one, is alive. */
void UpstreamCatalogue::confirm(const UpstreamEntry &entry)
{
    const UpstreamEntry *known = find(entry.id);
    if (known != nullptr && entry.incarnation >= known->incarnation && entry.sequence >= known->sequence) {
        m_unconfirmed.erase(entry.id);
    }
}

/** Returns the known upstreams that are not listed. */
std::vector<UpstreamId> UpstreamCatalogue::applyAll(const std::vector<UpstreamEntry> &entries, bool &changed)
{
    std::set<UpstreamId> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.id);
        changed = apply(entry) != CatalogueChange::Nothing || changed;
    }
    std::vector<UpstreamId> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

bool UpstreamCatalogue::replace(const std::vector<UpstreamEntry> &entries)
{
    bool changed = false;
    const std::vector<UpstreamId> missing = applyAll(entries, changed);
    for (const UpstreamId &id : missing) {
        remove(id);
    }
    return changed || !missing.empty();
}

bool UpstreamCatalogue::restore(TimePoint now, const std::vector<UpstreamEntry> &entries)
{
    bool changed = false;
    for (const UpstreamId &id : applyAll(entries, changed)) {
        m_unconfirmed.try_emplace(id, now + confirmationTime);
    }
    return changed;
}

bool UpstreamCatalogue::expireUnconfirmed(TimePoint now)
{
    std::vector<UpstreamId> expired;
    for (const auto &[id, until] : m_unconfirmed) {
        if (now >= until) {
            expired.push_back(id);
        }
    }
    for (const UpstreamId &id : expired) {
        remove(id);
    }
    return !expired.empty();
}

CatalogueChange UpstreamCatalogue::remove(const UpstreamTombstone &tombstone)
{
    const UpstreamEntry *known = find(tombstone.id);
    const bool later = known != nullptr
                       && (known->incarnation > tombstone.incarnation
                           || (known->incarnation == tombstone.incarnation && known->sequence > tombstone.sequence));
    return later ? CatalogueChange::Nothing : remove(tombstone.id);
}

std::optional<UpstreamTombstone> UpstreamCatalogue::tombstone(const UpstreamId &id) const
{
    const auto found = m_tombstones.find(id);
    return found == m_tombstones.end() ? std::nullopt : std::optional(found->second);
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
    const auto known = m_entries.find(id);
    return known == m_entries.end() ? nullptr : &known->second;
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
    }
    return hash;
}

} // namespace jackdawdoor::fleet
