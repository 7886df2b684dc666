/** Fixed-size set of closed keys.
 *
 * A Bloom filter of two generations. It can report keys that were never added, and never misses one that was added and
 * whose ticket is within its retention (IssuerClocks). A saturated filter reports every key, so that under overload
 * more keys are refused as not run, and none is admitted after it was refused.
 */
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace jackdawdoor::idempotency {

/** Set of closed keys with false positives and without false negatives. */
class ClosedKeyFilter
{
public:
    /** `bits` for each of the two generations, rounded up to a multiple of 64; allocated when the first key is added. */
    explicit ClosedKeyFilter(std::size_t bits);

    /** Adds a key that stays in the filter at least until `keepUntil`. */
    void add(TimePoint now, std::string_view key, TimePoint keepUntil);

    bool contains(std::string_view key) const;

    /** Clears generations in which all keys are past their `keepUntil`. */
    void expire(TimePoint now);

private:
    struct Generation {
        std::vector<std::uint64_t> words;
        TimePoint start; ///< time of the first addition
        TimePoint keepUntil;

        bool contains(std::uint64_t first, std::uint64_t second, std::size_t bits) const;
    };

    std::size_t m_bits;
    Generation m_current;
    Generation m_previous;
};

} // namespace jackdawdoor::idempotency
