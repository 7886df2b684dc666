/** One key in the table of its home. */
#pragma once

#include "base/time.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/keyoutcome.h"

namespace jackdawdoor::idempotency {

/** State of a key at its home; see HomeKeys. */
enum class KeyState {
    Pending, ///< the witness has been asked to record it
    Ready, ///< recorded; may be dispatched once
    Running, ///< dispatched
    Idle, ///< recorded, provably not run, and nobody was told so; a resend may run it
    Completed,
    Unknown,
    Closed, ///< did not run and never will
};

/** Key with its state. */
struct HomeEntry {
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
    KeyState state = KeyState::Pending;
    KeyRefusal closeReason = KeyRefusal::Closed; ///< why, when Closed
    StoredAnswer answer; ///< when Completed
    TimePoint recordDeadline; ///< when Pending: refused if the witness has not confirmed by then
    int updatesLeft = 0; ///< sends of the outcome update that remain

    /** The final outcome, or InProgress. */
    KeyOutcome outcome() const;
};

} // namespace jackdawdoor::idempotency
