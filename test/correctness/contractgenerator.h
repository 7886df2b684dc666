/** Random contracts within the accepted ranges, for property tests. */
#pragma once

#include "contract/contract.h"

#include <rapidcheck.h>

namespace jackdawdoor::contract {

/** An accepted contract with 1 to 3 services. */
rc::Gen<Contract> acceptedContract();

} // namespace jackdawdoor::contract
