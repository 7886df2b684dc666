/** Known upstreams with their latest reports.
 *
 * Reports may arrive late or twice: one counts only if its incarnation began later than the known one, or it is a later
 * report of the same incarnation. A removal keeps the number of the last report, so that an old report cannot bring a
 * removed upstream back, while an upstream whose entry had expired returns with its next report.
 */
#pragma once

#include "fleet/upstreamentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::fleet {

/** What a report changed. */
enum class CatalogueChange {
    Nothing,
    Added, ///< new upstream or new incarnation
    Changed, ///< state or other content
    Removed,
};

/** An upstream that was removed, with its last report. */
struct UpstreamTombstone {
    UpstreamId id;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;

    bool operator==(const UpstreamTombstone &) const = default;
};

/** Latest report of each upstream. */
class UpstreamCatalogue
{
public:
    /** Takes a report. */
    CatalogueChange apply(const UpstreamEntry &entry);

    /** The upstream has left or fallen silent. */
    CatalogueChange remove(const UpstreamId &id);

    /** Likewise, as known from another instance: nothing happens when a later report is known here. */
    CatalogueChange remove(const UpstreamTombstone &tombstone);

    /** Number of the last report of an upstream that has been removed, or nothing. */
    std::optional<UpstreamTombstone> tombstone(const UpstreamId &id) const;

    /** Replaces everything; upstreams that are not listed are removed. True when anything has changed. */
    bool replace(const std::vector<UpstreamEntry> &entries);

    /** Upstreams in order of their ids. */
    std::vector<UpstreamEntry> entries() const;

    const UpstreamEntry *find(const UpstreamId &id) const;

    /** Hash of the content without report numbers; equal on instances that know the same. */
    std::uint64_t fingerprint() const;

private:
    bool outdated(const UpstreamEntry &entry) const;

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, UpstreamTombstone> m_tombstones;
};

} // namespace jackdawdoor::fleet
