/** Derivation rules of an operation. */
#pragma once

#include "contract/derivationscope.h"
#include "contract/operation.h"

namespace jackdawdoor::contract {

/** Limits of one operation. The scope's subject is the operation's id. */
OperationPolicy deriveOperation(const OperationId &id, const Operation &operation, DerivationScope &scope);

} // namespace jackdawdoor::contract
