/** The product behind the interface of the measurements. */
#pragma once

#include "measure/entryfleet.h"

#include <memory>

namespace jackdawdoor::measure {

/** VirtualFleet, with its decision log turned into events. */
std::unique_ptr<EntryFleet> makeProductFleet(std::size_t instances, std::uint64_t seed);

} // namespace jackdawdoor::measure
