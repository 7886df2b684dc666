/** How far the answers on a caller's connection have been delivered.
 *
 * Bytes count as delivered when the caller's system has acknowledged them. What waits in the output buffer or in the kernel does
 * not: a reset of the connection would discard it. No I/O; the caller's connection reports the bytes.
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace jackdawdoor::proxy {

/** Delivery of the answers on one connection. */
class AnswerDelivery
{
public:
    explicit AnswerDelivery(TimePoint now);

    /** Bytes are added to the output. */
    void addQueued(TimePoint now, std::size_t bytes);

    /** undelivered: bytes of the output that are not acknowledged at present. */
    void update(TimePoint now, std::size_t undelivered);

    /** True if all bytes had been delivered at the last update. */
    bool complete() const;

    /** While bytes wait: when the caller last took some, or when they began to wait. Else when the last one was delivered. */
    TimePoint progressed() const;

    /** True if bytes wait of which the caller has taken none for that long. */
    bool stalled(TimePoint now, Duration limit) const;

private:
    std::uint64_t m_queued = 0;
    std::uint64_t m_delivered = 0;
    TimePoint m_progressed;
};

} // namespace jackdawdoor::proxy
