/** What an upstream says of itself on the platform. */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::fleet {

/** State that an upstream reports. */
enum class UpstreamStatus : std::uint8_t {
    Ready = 0,
    Draining = 1,
};

/** One upstream, as its latest report has it. */
struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    std::int64_t incarnation = 0; ///< start of this incarnation, Unix milliseconds by the upstream's clock
    std::int64_t sequence = 0; ///< number of the report within the incarnation
    int slots = 1; ///< requests that it runs at the same time
    UpstreamStatus status = UpstreamStatus::Ready;
    Duration warmupLeft{}; ///< it remains slow for so long after the report

    bool operator==(const UpstreamEntry &) const = default;
};

/** True when the entries say the same, apart from the number of the report and the time that it names. */
inline bool sameContent(UpstreamEntry first, const UpstreamEntry &second)
{
    first.sequence = second.sequence;
    first.warmupLeft = second.warmupLeft;
    return first == second;
}

} // namespace jackdawdoor::fleet
