#include "health/floorguard.h"

#include <algorithm>

namespace jackdawdoor::health {

std::string FloorBound::message() const
{
    return "healthy floor of " + std::to_string(floor) + " with " + std::to_string(available)
           + " available upstreams prevents ejections: " + std::to_string(kept.size());
}

FloorGuard::FloorGuard(int floor)
    : m_floor(floor)
{
}

FloorDecision FloorGuard::decide(const std::vector<FloorCandidate> &candidates) const
{
    FloorDecision decision;
    int available = 0;
    std::vector<std::size_t> wanted;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        available += candidates[index].available ? 1 : 0;
        if (candidates[index].shouldEject) {
            wanted.push_back(index);
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), [&candidates](std::size_t left, std::size_t right) {
        return candidates[left].severity > candidates[right].severity;
    });

    int allowed = std::max(0, available - m_floor);
    for (const auto index : wanted) {
        // Ejecting an unavailable upstream does not reduce the capacity. Nothing may be ejected while fewer upstreams than
        // the floor are available.
        const bool permitted = candidates[index].available ? allowed > 0 : available >= m_floor;
        if (!permitted) {
            decision.bound.kept.push_back(index);
            continue;
        }
        allowed -= candidates[index].available ? 1 : 0;
        decision.ejected.push_back(index);
    }
    std::sort(decision.ejected.begin(), decision.ejected.end());
    std::sort(decision.bound.kept.begin(), decision.bound.kept.end());
    decision.bound.floor = m_floor;
    decision.bound.available = available;
    return decision;
}

} // namespace jackdawdoor::health
