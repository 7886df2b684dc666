/** Messages between instances about the requests of organisations that have a quota. */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jackdawdoor::limits {

/** Counters of one instance for one organisation. They rise only, so lost and repeated messages do no harm. */
struct QuotaItem {
    std::uint64_t key = 0; ///< stable hash of the organisation's name
    std::int64_t started = 0; ///< when the counters began, in milliseconds of QuotaReport::uptime
    std::int64_t admitted = 0;
    std::int64_t givenBack = 0; ///< admitted requests that never ran
    std::int64_t asked = 0; ///< admitted and refused requests
    double balance = 0; ///< tokens as the sender knows them

    bool operator==(const QuotaItem &) const = default;
};

/** Counters of one instance that have changed lately. Without items, it says that the instance is alive. */
struct QuotaReport {
    std::int64_t sequence = 0; ///< grows with each report of the sender's process
    std::int64_t uptime = 0; ///< age of the sender's counters as a whole, in milliseconds
    bool active = true; ///< false if the sender does not admit requests of organisations with a quota any more
    std::vector<QuotaItem> items;

    bool operator==(const QuotaReport &) const = default;
};

/** Items in one datagram, at up to 45 bytes each, so that a datagram fits a packet. */
constexpr std::size_t maximumQuotaItems = 25;

} // namespace jackdawdoor::limits
