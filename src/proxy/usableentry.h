/** Validation of upstream entries from outside this process. */
#pragma once

#include "fleet/upstreamentry.h"

namespace jackdawdoor::proxy {

/** True when the entry has an id, a service, a valid address and at least one slot. */
bool isUsableEntry(const fleet::UpstreamEntry &entry);

} // namespace jackdawdoor::proxy
