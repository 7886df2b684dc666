/** Detection of requests that crash upstreams.
 *
 * A request is suspected of a crash if an upstream broke the connection while running it and could not be reached shortly
 * afterwards. A request suspected of crashing several upstreams, as seen by any instances of the fleet, is refused.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::fleet {

/** A request is refused after crashes of this many upstreams. */
constexpr std::size_t maximumCrashes = 2;

/** Tracks suspected crashes reported by this and other instances. */
class CrashTracker
{
public:
    /** Records that the upstream broke the connection while it was running the request. */
    void recordBrokenConnection(TimePoint now, std::uint64_t request, std::uint32_t upstream);

    /** Records that the upstream could not be reached. Returns the requests whose connections it broke shortly before, which
     * may have crashed it. */
    std::vector<std::uint64_t> recordUnreachable(TimePoint now, std::uint32_t upstream);

    /** Records that the request crashed the upstream, as detected by this or another instance. */
    void recordCrash(TimePoint now, std::uint64_t request, std::uint32_t upstream);

    /** Returns the number of upstreams that the request is known to have crashed. */
    std::size_t crashes(std::uint64_t request) const;

    /** Returns true if the request must not be run again. */
    bool refused(std::uint64_t request) const;

    /** Removes expired entries. */
    void expire(TimePoint now);

private:
    struct BrokenConnection {
        TimePoint at{};
        std::uint64_t request = 0;
    };
    struct Crashes {
        TimePoint last{};
        std::set<std::uint32_t> upstreams;
    };

    std::multimap<std::uint32_t, BrokenConnection> m_brokenConnections; ///< by upstream
    std::map<std::uint64_t, Crashes> m_crashes; ///< by request
};

} // namespace jackdawdoor::fleet
