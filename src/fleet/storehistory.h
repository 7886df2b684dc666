/** Which history of the platform's store an instance follows.
 *
 * A store that is restored from a copy begins a new history: what was written since the copy is gone, and its offsets are
 * given out again for other records. So an offset says something only together with the number of its history, and an answer
 * of an earlier history than the latest known one says nothing about the store any more.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace jackdawdoor::fleet {

/** Number of a history; a later one has a higher number. */
using StoreHistoryNumber = std::uint64_t;

/** Place in one of the store's logs. */
struct StorePosition {
    std::optional<StoreHistoryNumber> history; ///< nothing if the store states none
    std::uint64_t offset = 0; ///< zero requests the full state

    bool operator==(const StorePosition &) const = default;
};

/** The history that the store is in, by its answers. A wrong number, from the store or from another instance, must not keep an
 * instance from reading: an answer to a call that began after the present history was learned of is always believed. */
class StoreHistory
{
public:
    /** Takes note of the history that an answer of the store states, if any. begun: start of the call. Returns false if the
     * answer was sent before the store was restored. */
    bool observe(TimePoint now, TimePoint begun, const std::optional<StoreHistoryNumber> &stated);

    /** Takes note of a history that the store or another instance states. Returns true if it tells for the first time that the
     * store was restored. */
    bool tellsRestoration(const std::optional<StoreHistoryNumber> &stated);

    /** The present history, or nothing if the store has stated none. */
    const std::optional<StoreHistoryNumber> &present() const;

private:
    std::optional<StoreHistoryNumber> m_present;
    TimePoint m_learnedAt{};
    std::optional<StoreHistoryNumber> m_highestTold;
};

/** Returns true if the records that were read from a position, up to the next one, follow what was read before it. */
bool continues(const StorePosition &from, const StorePosition &next);

} // namespace jackdawdoor::fleet
