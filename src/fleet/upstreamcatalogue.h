/** Catalogue of upstreams with their latest reports.
 *
 * Records of the store may arrive late, out of order or more than once, from the store or from other instances. A record is
 * applied only if it is newer than what is known of its upstream (see fleet::isNewer). A removal leaves a tombstone with the
 * position of its record, also if the upstream is unknown, so that an older record doesn't add the upstream again.
 */
#pragma once

#include "base/time.h"
#include "fleet/catalogueorder.h"
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

/** A removed upstream with the highest report number known before the removal, and the position of the removal. */
struct UpstreamTombstone {
    UpstreamId id;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    std::optional<StorePosition> position = std::nullopt;

    bool operator==(const UpstreamTombstone &) const = default;
};

/** Stores the latest report of each upstream. */
class UpstreamCatalogue
{
public:
    /** Applies a report, unless it is outdated. */
    CatalogueChange apply(const UpstreamEntry &entry);

    /** Removes an upstream that has left or whose entry has expired. position: of the record, if it is known. */
    CatalogueChange remove(const UpstreamId &id, const std::optional<StorePosition> &position = std::nullopt);

    /** Applies a removal received from another instance. Does nothing if it is outdated. */
    CatalogueChange remove(const UpstreamTombstone &tombstone);

    /** Returns the tombstone of a removed upstream, or nullopt. */
    std::optional<UpstreamTombstone> tombstone(const UpstreamId &id) const;

    /** Applies all entries of a full state, and removes the upstreams that are not listed. The state is complete through a
     * position: what is known of later records stays. Entries of an earlier history of the store stay for a while, since the copy
     * that it was restored from may lack them; an upstream that is alive writes its entry again. Returns true if anything
     * changed. */
    bool replace(const std::vector<UpstreamEntry> &entries, const std::optional<StorePosition> &through = std::nullopt);

    /** Like replace(), for a state that is older than this catalogue: entries without a position stay, too. */
    bool merge(const std::vector<UpstreamEntry> &entries, const StorePosition &through);

    /** Like replace(), for a store that was restored from a copy: entries without a position stay for a while, too. */
    bool restore(TimePoint now, const std::vector<UpstreamEntry> &entries, const std::optional<StorePosition> &through = std::nullopt);

    /** Removes the entries of an earlier history that have not been written again in time. now: time as of which the catalogue is
     * complete, so that none expire while the store cannot be read. Returns true if there were any. */
    bool expireUnconfirmed(TimePoint now);

    /** Forgets all positions in histories after this one. Called when the store has stated a history that was wrong. */
    void forgetHistoriesAfter(StoreHistoryNumber history);

    /** Returns all entries, sorted by id. */
    std::vector<UpstreamEntry> entries() const;

    const UpstreamEntry *find(const UpstreamId &id) const;

    /** Returns a hash of the content and the positions, without sequence numbers. Instances that know the same records have the
     * same fingerprint. */
    std::uint64_t fingerprint() const;

    /** Returns a number that grows with each record that is accepted, also if its content is known. */
    std::uint64_t revision() const;

private:
    /** What to do with a known entry that a full state doesn't list. */
    enum class Unlisted {
        Remove,
        Keep,
        Confirm, ///< keep for a while
    };
    /** An entry that a restored store lacks. */
    struct Unconfirmed {
        std::optional<TimePoint> until; ///< of its removal; nothing before the time is known
        std::optional<StorePosition> through; ///< of the full state that lacks it
    };
    struct StoredTombstone {
        UpstreamTombstone tombstone;
        std::uint64_t age = 0; ///< key in m_tombstoneAges
    };

    std::optional<CatalogueState> known(const UpstreamId &id, const std::optional<CatalogueState> &absent) const;
    std::optional<CatalogueState> absence() const;
    CatalogueChange apply(const UpstreamEntry &entry, const std::optional<CatalogueState> &absent);
    void confirm(const UpstreamEntry &entry);
    CatalogueChange bury(const UpstreamTombstone &tombstone);
    void storeTombstone(const UpstreamTombstone &tombstone);
    void dropTombstone(const UpstreamId &id);
    CatalogueChange removeUnlisted(const UpstreamEntry &entry, const std::optional<StorePosition> &through);
    static Unlisted handling(const UpstreamEntry &entry, const std::optional<StorePosition> &through, Unlisted withoutPosition);
    bool applyAll(const std::vector<UpstreamEntry> &entries,
                  const std::optional<StorePosition> &through,
                  Unlisted withoutPosition,
                  const std::optional<TimePoint> &confirmUntil);

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, StoredTombstone> m_tombstones;
    std::map<std::uint64_t, UpstreamId> m_tombstoneAges; ///< in the order in which they were stored
    std::uint64_t m_nextTombstoneAge = 0;
    std::map<UpstreamId, Unconfirmed> m_unconfirmed;
    std::optional<StorePosition> m_complete; ///< of the latest full state
    std::uint64_t m_revision = 0;
};

} // namespace jackdawdoor::fleet
