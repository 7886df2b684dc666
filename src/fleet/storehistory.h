/** Which history of the platform's store an instance follows.
 *
 * A store that is restored from a copy begins a new history: what was written since the copy is gone, and its offsets are
 * given out again for other records. So an offset says something only together with the number of its history, and an answer
 * of an earlier history than the latest known one says nothing about the store any more.
 */
#pragma once

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

/** How the history of an answer relates to the latest known one. */
enum class HistoryRelation {
    Same, ///< or not stated
    Later, ///< the store has been restored
    Earlier, ///< the answer was sent before the store was restored
};

/** The latest known history. */
class StoreHistory
{
public:
    /** Takes note of the history that an answer of the store, or another instance, states. */
    HistoryRelation observe(const std::optional<StoreHistoryNumber> &stated);

    const std::optional<StoreHistoryNumber> &latest() const;

private:
    std::optional<StoreHistoryNumber> m_latest;
};

/** Returns true if the records that were read from a position, up to the next one, follow what was read before it. */
bool continues(const StorePosition &from, const StorePosition &next);

} // namespace jackdawdoor::fleet
