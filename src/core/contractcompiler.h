/** The contract compiler that instances use. */
#pragma once

#include "base/error.h"
#include "contract/policy.h"

#include <string>

namespace jackdawdoor::core {

/** Parses a contract and derives its policy. The Error describes the first fault in the contract. */
Result<contract::CustomerPolicy> compileContract(const std::string &body);

} // namespace jackdawdoor::core
