#include "placement/hostplacement.h"

#include <algorithm>

namespace jackdawdoor::placement {

namespace {

constexpr std::size_t minimumInstances = 4;
/** In large data centres, one of this many instances is used. */
constexpr std::size_t instancesPerPlacement = 5;

} // namespace

std::size_t instancesForHost(std::size_t instancesInDataCentre)
{
    return std::min(instancesInDataCentre, std::max(minimumInstances, instancesInDataCentre / instancesPerPlacement));
}

} // namespace jackdawdoor::placement
