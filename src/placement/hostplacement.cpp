#include "placement/hostplacement.h"

#include <algorithm>

namespace jackdawdoor::placement {

namespace {

constexpr std::size_t minimumInstances = 4;
/** One in so many of a larger data centre. */
constexpr std::size_t instancesPerPlacement = 5;

} // namespace

std::size_t instancesForHost(std::size_t instancesInDataCentre)
{
    return std::min(instancesInDataCentre, std::max(minimumInstances, instancesInDataCentre / instancesPerPlacement));
}

} // namespace jackdawdoor::placement
