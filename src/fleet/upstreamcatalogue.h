/** Catalogue of upstreams with their latest reports.
 *
 * Reports may arrive late, out of order or more than once. A report is applied only if it has a later incarnation than the
 * stored one, or the same incarnation and a higher sequence number. A removed upstream leaves a tombstone with its last
 * sequence number: an old report doesn't add the upstream again, but the next report does if the entry had only expired.
 */
#pragma once

#include "base/time.h"
#include "fleet/upstreamentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::fleet {

/** Effect of a report or a removal. */
enum class CatalogueChange {
    Nothing,
    Added, ///< new upstream, or new incarnation of a known one
    Changed, ///< status or other content changed
    Removed,
};

/** A removed upstream with the incarnation and sequence number of its last report. */
struct UpstreamTombstone {
    UpstreamId id;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;

    bool operator==(const UpstreamTombstone &) const = default;
};

/** Stores the latest report of each upstream. */
class UpstreamCatalogue
{
public:
    /** Applies a report, unless it is outdated. */
    CatalogueChange apply(const UpstreamEntry &entry);

    /** Removes an upstream that has left or whose entry has expired. */
    CatalogueChange remove(const UpstreamId &id);

    /** Applies a removal received from another instance. Does nothing if a later report is stored here. */
    CatalogueChange remove(const UpstreamTombstone &tombstone);

    /** Returns the tombstone of a removed upstream, or nullopt. */
    std::optional<UpstreamTombstone> tombstone(const UpstreamId &id) const;

    /** Applies all entries and removes upstreams that are not listed. Returns true if anything changed. */
    bool replace(const std::vector<UpstreamEntry> &entries);

    /** Applies all entries of a store that was restored from a copy. Entries that are not listed stay for a while, since the copy
     * may lack them; an upstream that is alive writes its entry again. Returns true if anything changed. */
    bool restore(TimePoint now, const std::vector<UpstreamEntry> &entries);

    /** Removes the entries that have not been written again in time. Returns true if there were any. */
    bool expireUnconfirmed(TimePoint now);

    /** Returns all entries, sorted by id. */
    std::vector<UpstreamEntry> entries() const;

    const UpstreamEntry *find(const UpstreamId &id) const;

    /** Returns a hash of the content without sequence numbers. Instances with the same content have the same fingerprint. */
    std::uint64_t fingerprint() const;

private:
    bool outdated(const UpstreamEntry &entry) const;
    std::vector<UpstreamId> applyAll(const std::vector<UpstreamEntry> &entries, bool &changed);
    void confirm(const UpstreamEntry &entry);

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, UpstreamTombstone> m_tombstones;
    std::map<UpstreamId, TimePoint> m_unconfirmed; ///< missing in a restored store, with the time of their removal
};

} // namespace jackdawdoor::fleet
