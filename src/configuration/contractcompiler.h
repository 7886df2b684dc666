/** Callback that compiles a contract's text into a policy. */
#pragma once

#include "base/error.h"
#include "contract/policy.h"

#include <functional>
#include <string>

namespace jackdawdoor::configuration {

/** Returns an Error for an invalid contract. Must be a pure function, since it decides whether a publish is accepted and
 * all instances must decide alike. */
using ContractCompiler = std::function<Result<contract::CustomerPolicy>(const std::string &body)>;

} // namespace jackdawdoor::configuration
