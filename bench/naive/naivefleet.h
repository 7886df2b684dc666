/** The naive policy, for comparison on the same fakes.
 *
 * Each instance decides on its own: five errors in a row eject an upstream for 30 s, without a floor; each instance may
 * use all slots of an upstream; up to three retries without a budget; keys are remembered only where they arrived.
 */
#pragma once

#include "measure/entryfleet.h"

#include <memory>

namespace jackdawdoor::naive {

std::unique_ptr<measure::EntryFleet> makeNaiveFleet(std::size_t instances, std::uint64_t seed);

} // namespace jackdawdoor::naive
