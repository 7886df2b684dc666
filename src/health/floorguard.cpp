#include "health/floorguard.h"

#include <algorithm>

namespace jackdawdoor::health {

std::string FloorBound::message() const
{
    return "healthy floor " + std::to_string(floor) + " of " + std::to_string(available) + " available upstreams keeps "
           + std::to_string(kept.size());
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
        // Ejecting an upstream that is unavailable anyway takes nothing from the capacity, but when the available ones
        // do not even reach the floor, nothing at all may be ejected.
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
