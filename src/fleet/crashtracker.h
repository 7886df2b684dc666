/** Requests that crash the upstreams that run them.
 *
 * A request is suspected when an upstream that was running it broke the connection and could not be reached afterwards.
 * After crashes of several upstreams, anywhere in the fleet, the request is refused.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::fleet {

/** Crashes after which a request is refused. */
constexpr std::size_t maximumCrashes = 2;

/** Suspicions of one instance, joined with those of others. */
class CrashTracker
{
public:
    /** A connection on which the request ran was broken off by the upstream. */
    void recordBrokenConnection(TimePoint now, std::uint64_t request, std::uint32_t upstream);

    /** The upstream could not be reached: requests that it broke off shortly before may have crashed it. Returns them. */
    std::vector<std::uint64_t> recordUnreachable(TimePoint now, std::uint32_t upstream);

    /** A request crashed an upstream, as this or another instance found. */
    void recordCrash(TimePoint now, std::uint64_t request, std::uint32_t upstream);

    /** True when the request must not run any more. */
    bool refused(std::uint64_t request) const;

    /** Forgets old entries. */
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
