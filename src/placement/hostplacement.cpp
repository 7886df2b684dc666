#include "placement/hostplacement.h"

#include <algorithm>

namespace jackdawdoor::placement {

namespace {

constexpr std::size_t fewestInstances = 4;
/** One in so many of a larger data centre. */
constexpr std::size_t placedPart = 5;

} // namespace

std::size_t instancesForHost(std::size_t inDataCentre)
{
    return std::min(inDataCentre, std::max(fewestInstances, inDataCentre / placedPart));
}

} // namespace jackdawdoor::placement
