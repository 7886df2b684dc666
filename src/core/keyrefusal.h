/** Maps decisions on idempotency keys to refusals for callers. */
#pragma once

#include "core/refusal.h"
#include "idempotency/homekeys.h"

namespace jackdawdoor::core {

/** Refusal for a home's decision to refuse a key. */
Refusal refusalFor(const idempotency::RefuseKey &refuse);

/** Refusal for a resolved outcome other than Completed. */
Refusal refusalFor(const idempotency::KeyOutcome &outcome);

} // namespace jackdawdoor::core
