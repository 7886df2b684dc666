/** Refusals of requests with idempotency keys, as callers see them. */
#pragma once

#include "core/refusal.h"
#include "idempotency/homekeys.h"

namespace jackdawdoor::core {

/** Refusal for a decision of the home. */
Refusal refusalFor(const idempotency::RefuseKey &refuse);

/** Refusal for a key whose outcome another instance told; not for Completed outcomes. */
Refusal refusalFor(const idempotency::KeyOutcome &outcome);

} // namespace jackdawdoor::core
