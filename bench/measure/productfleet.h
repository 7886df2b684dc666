/** The product behind the EntryFleet interface. */
#pragma once

#include "measure/entryfleet.h"

#include <memory>

namespace jackdawdoor::measure {

/** Creates a VirtualFleet whose decision log is translated into events. */
std::unique_ptr<EntryFleet> makeProductFleet(std::size_t instances, std::uint64_t seed);

} // namespace jackdawdoor::measure
