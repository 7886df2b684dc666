/** Order of the states of one upstream in the catalogue.
 *
 * An instance learns of records of the store's log by its own reads, from other instances' changes and from their whole states, in
 * any order and more than once. The position of a record in the log decides which of two states is newer; the number of the
 * upstream's report decides only where positions cannot, that is between histories of the store and for messages without
 * positions. The same rule holds for all sources, so that instances that have seen the same records know the same upstreams.
 */
#pragma once

#include "fleet/storehistory.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace jackdawdoor::fleet {

/** Number of an upstream's report: a later start of its process, then a later report of it, is higher. */
struct ReportNumber {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;

    auto operator<=>(const ReportNumber &) const = default; // NOLINT(modernize-use-nullptr): false positive in generated code
};

/** What a record, or a message about it, states of one upstream. */
struct CatalogueState {
    bool removed = false;
    ReportNumber report; ///< of a removal: the highest known before it
    std::optional<StorePosition> position; ///< of the record; nothing if it is unknown
};

/** How the histories of two positions relate. */
enum class HistoryOrder {
    Unknown, ///< a position is unknown, or only one of them states a history
    Same,
    Earlier,
    Later,
};

/** Returns whether the first position's history is the same as, earlier or later than the second one's. */
HistoryOrder compareHistories(const std::optional<StorePosition> &first, const std::optional<StorePosition> &second);

/** Returns true if the candidate replaces what is known of the same upstream. */
bool isNewer(const CatalogueState &candidate, const CatalogueState &known);

/** Returns the position of the last record before the given position; nothing if there is none. */
std::optional<StorePosition> positionBefore(const StorePosition &position);

/** Returns where to read on after learning from another instance of all records before its position. */
StorePosition advancedTo(const StorePosition &next, const StorePosition &through);

} // namespace jackdawdoor::fleet
