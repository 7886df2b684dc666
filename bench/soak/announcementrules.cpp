#include "soak/announcementrules.h"

#include <algorithm>

namespace jackdawdoor::soak {

namespace {

std::string describe(const InstanceLife &instance, const UpstreamLife &upstream)
{
    return "instance " + std::to_string(instance.instance) + " and upstream " + upstream.upstream;
}

} // namespace

void AnnouncementRules::leavingPassedOn(TimePoint now, const InstanceLife &by, const UpstreamLife &upstream)
{
    const std::lock_guard lock(m_mutex);
    m_leaving.try_emplace({by, upstream}, now);
}

void AnnouncementRules::restAsked(TimePoint now, const InstanceLife &of, const UpstreamLife &upstream, Duration rest)
{
    const std::lock_guard lock(m_mutex);
    m_rests[{of, upstream}].push_back({now, now + rest, 0});
}

std::vector<std::string> AnnouncementRules::arrived(TimePoint now, TimePoint sent, const InstanceLife &from, const UpstreamLife &upstream)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> broken;
    const auto leaving = m_leaving.find({from, upstream});
    if (leaving != m_leaving.end() && sent > leaving->second + leavingBound) {
        broken.push_back("DRAIN: " + describe(from, upstream) + ": a request sent " + std::to_string(toMilliseconds(sent - leaving->second))
                         + " ms after it passed on that the upstream leaves");
    }
    std::vector<Rest> &rests = m_rests[{from, upstream}];
    std::erase_if(rests, [now](const Rest &rest) {
        return now >= rest.end;
    });
    for (Rest &rest : rests) {
        rest.arrivals += now > rest.begin + restReactionTime ? 1 : 0;
        if (rest.arrivals == allowedDuringRest + 1) {
            broken.push_back("BUDGET: " + describe(from, upstream) + ": a third request, "
                             + std::to_string(toMilliseconds(now - rest.begin)) + " ms into a rest of "
                             + std::to_string(toMilliseconds(rest.end - rest.begin)) + " ms");
        }
    }
    return broken;
}

} // namespace jackdawdoor::soak
