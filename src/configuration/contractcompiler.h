/** Hook that turns a contract's text into the policy derived from it. */
#pragma once

#include "base/error.h"
#include "contract/policy.h"

#include <functional>
#include <string>

namespace jackdawdoor::configuration {

/** Returns an Error for an invalid contract. Must be a pure function: whether a publish is accepted depends on it, and
 * all instances must agree on that. */
using ContractCompiler = std::function<Result<contract::CustomerPolicy>(const std::string &body)>;

} // namespace jackdawdoor::configuration
