/** Entry of the key table at the home instance. */
#pragma once

#include "base/time.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/keyoutcome.h"

namespace jackdawdoor::idempotency {

/** State of a key at its home; the state machine is described at HomeKeys. */
enum class KeyState {
    Pending, ///< the witness has been asked to record it
    Ready, ///< recorded; may be dispatched once
    Running, ///< dispatched
    Idle, ///< recorded, provably not run, and not reported as such; a resend may run it
    Completed,
    Unknown,
    Closed, ///< did not run and never will
};

/** Key with its state. */
struct HomeEntry {
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
    KeyState state = KeyState::Pending;
    KeyRefusal closeReason = KeyRefusal::Closed; ///< when Closed
    StoredAnswer answer; ///< when Completed
    TimePoint recordDeadline; ///< when Pending: the key is refused if the witness has not confirmed by then
    int updatesLeft = 0; ///< remaining transmissions of the outcome update

    /** The final outcome, or InProgress. */
    KeyOutcome outcome() const;
};

} // namespace jackdawdoor::idempotency
