/** Check of an upstream's entry that came from outside of this process. */
#pragma once

#include "fleet/upstreamentry.h"

namespace jackdawdoor::proxy {

/** True when the entry names an upstream of a service, with an address that can be connected to and at least one slot. */
bool isUsableEntry(const fleet::UpstreamEntry &entry);

} // namespace jackdawdoor::proxy
