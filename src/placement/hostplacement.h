/** Number of instances that serve the callers of one host. */
#pragma once

#include <cstddef>

namespace jackdawdoor::placement {

/** Returns the number of instances over which the callers of one host are spread within a data centre.
 *
 * The number is small, so that each instance receives enough requests to keep its connections and health data fresh. It
 * grows with the data centre, because a larger one carries more load on instances of the same size.
 */
std::size_t instancesForHost(std::size_t instancesInDataCentre);

} // namespace jackdawdoor::placement
