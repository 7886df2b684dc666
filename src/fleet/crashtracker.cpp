#include "fleet/crashtracker.h"

namespace jackdawdoor::fleet {

namespace {

/** An upstream found unreachable within this time after breaking a connection counts as crashed. */
constexpr Duration crashWindow = std::chrono::milliseconds{1500};
/** Crashes are remembered this long, because callers keep retrying the request for a while. */
constexpr Duration crashEntryLifetime = std::chrono::minutes{5};

} // namespace

void CrashTracker::recordBrokenConnection(TimePoint now, std::uint64_t request, std::uint32_t upstream)
{
    m_brokenConnections.emplace(upstream, BrokenConnection{now, request});
}

std::vector<std::uint64_t> CrashTracker::recordUnreachable(TimePoint now, std::uint32_t upstream)
{
    std::vector<std::uint64_t> suspects;
    const auto [first, last] = m_brokenConnections.equal_range(upstream);
    for (auto entry = first; entry != last; ++entry) {
        if (now - entry->second.at <= crashWindow) {
            suspects.push_back(entry->second.request);
        }
    }
    m_brokenConnections.erase(first, last);
    return suspects;
}

void CrashTracker::recordCrash(TimePoint now, std::uint64_t request, std::uint32_t upstream)
{
    Crashes &crashes = m_crashes[request];
    crashes.last = now;
    crashes.upstreams.insert(upstream);
}

std::size_t CrashTracker::crashes(std::uint64_t request) const
{
    const auto found = m_crashes.find(request);
    return found == m_crashes.end() ? 0 : found->second.upstreams.size();
}

bool CrashTracker::refused(std::uint64_t request) const
{
    return crashes(request) >= maximumCrashes;
}

void CrashTracker::expire(TimePoint now)
{
    std::erase_if(m_brokenConnections, [now](const auto &entry) {
        return now - entry.second.at > crashWindow;
    });
    std::erase_if(m_crashes, [now](const auto &entry) {
        return now - entry.second.last > crashEntryLifetime;
    });
}

} // namespace jackdawdoor::fleet
