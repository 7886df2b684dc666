/** Schedule of the reads of one of the store's topics: one at a time, with a delay after failures.
 *
 * Each topic has its own, so that one that cannot be read does not keep the others from being read.
 */
#pragma once

#include "base/time.h"

#include <cstdint>

namespace jackdawdoor::proxy {

/** Reads of one topic. */
class StoreRead
{
public:
    /** Identifies a read; an abandoned one is no longer the latest. */
    using Number = std::uint64_t;

    /** True when no read is pending and the delay after a failure is over. */
    bool due(TimePoint now) const;

    /** Begins a read. */
    Number begin(TimePoint now);

    /** Start of the latest read. */
    TimePoint begunAt() const;

    /** Ends the read. Returns false if it was abandoned. */
    bool succeed(Number read);

    /** Ends the read; the next one is due after a delay that grows with each failure. Returns false if it was abandoned. */
    bool fail(TimePoint now, Number read);

    /** Gives up a pending read, whose answer may have been lost. */
    void abandon();

private:
    bool end(Number read);

    Number m_latest = 0;
    bool m_pending = false;
    int m_failures = 0; ///< since the last success
    TimePoint m_begunAt{};
    TimePoint m_retryAt{};
};

} // namespace jackdawdoor::proxy
