/** How many instances the callers of one host use. */
#pragma once

#include <cstddef>

namespace jackdawdoor::placement {

/** Instances of a data centre with so many on which its callers of one host are placed.
 *
 * Few, so that each sees enough requests to keep connections and evidence fresh; more in a large data centre, since a
 * larger load is spread over instances that need not be larger ones.
 */
std::size_t instancesForHost(std::size_t instancesInDataCentre);

} // namespace jackdawdoor::placement
