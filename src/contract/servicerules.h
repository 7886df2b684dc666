/** Derivation rules of a service. */
#pragma once

#include "contract/contract.h"
#include "contract/explanation.h"
#include "contract/policy.h"

#include <cstddef>
#include <vector>

namespace jackdawdoor::contract {

/** Policy of the service at `index` of the contract, with its operations. Explanations are appended. */
ServicePolicy deriveService(const Contract &contract, std::size_t index, std::vector<Explanation> &explanations);

} // namespace jackdawdoor::contract
