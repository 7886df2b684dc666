/** Reader of the upstreams of one service. */
#pragma once

#include "contract/objectreader.h"
#include "contract/uniquenames.h"
#include "contract/upstream.h"

#include <vector>

namespace jackdawdoor::contract {

/** Reads "upstreams" with "upstreamDefaults" from a service. Faulty entries are reported and get default values,
 * so that the result has as many entries as the list. Addresses must be unique in the whole contract.
 */
std::vector<Upstream> readUpstreams(ObjectReader &service, UniqueNames &addresses, FaultList &faults, SourceLines &lines);

} // namespace jackdawdoor::contract
