/** Validation of upstream entries from outside this process. */
#pragma once

#include "fleet/upstreamentry.h"

namespace jackdawdoor::proxy {

/** True when the entry has an id that can be sent in a header, a service, a valid address and at least one slot. */
bool isUsableEntry(const fleet::UpstreamEntry &entry);

} // namespace jackdawdoor::proxy
