/** Upstream entries, as upstreams report them to the platform. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/storehistory.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawdoor::fleet {

/** Status that an upstream reports. */
enum class UpstreamStatus : std::uint8_t {
    Ready = 0,
    Draining = 1,
};

/** Latest report of one upstream. */
struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    std::int64_t incarnation = 0; ///< start time in Unix milliseconds, by the upstream's clock
    std::int64_t sequence = 0; ///< sequence number of the report within the incarnation
    int slots = 1; ///< requests that it runs concurrently
    UpstreamStatus status = UpstreamStatus::Ready;
    Duration warmupLeft{}; ///< remaining warm-up time at the time of the report
    std::optional<StorePosition> position = std::nullopt; ///< of its record; nothing if an instance of an earlier version told it

    bool operator==(const UpstreamEntry &) const = default;
};

/** Compares two entries without sequence number, remaining warm-up time and position. */
inline bool sameContent(UpstreamEntry first, const UpstreamEntry &second)
{
    first.sequence = second.sequence;
    first.warmupLeft = second.warmupLeft;
    first.position = second.position;
    return first == second;
}

} // namespace jackdawdoor::fleet
