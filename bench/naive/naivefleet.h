/** Naive policy, compared with the product on the same fakes.
 *
 * Each instance decides independently: five consecutive errors eject an upstream for 30 s, without a floor; each instance
 * may use all slots of an upstream; up to three retries without a retry budget; keys are stored only at the instance that
 * received them.
 */
#pragma once

#include "measure/entryfleet.h"

#include <memory>

namespace jackdawdoor::naive {

std::unique_ptr<measure::EntryFleet> makeNaiveFleet(std::size_t instances, std::uint64_t seed);

} // namespace jackdawdoor::naive
