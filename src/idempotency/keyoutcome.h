/** Outcome of the work identified by an idempotency key. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace jackdawdoor::idempotency {

/** Answer of the first run, stored for resends. */
struct StoredAnswer {
    int status = 0; ///< HTTP status
    std::string contentType;
    std::string body; ///< first bytes of the body
    bool bodyComplete = false; ///< `body` is the whole body; false when it was too large to store

    bool operator==(const StoredAnswer &) const = default;
};

/** State of a key as reported to another instance. */
enum class OutcomeKind {
    InProgress, ///< the home is running it or is about to; query again later
    Unknown, ///< it may have run, and it will not be run again
    NotRun, ///< it certainly did not run and never will under this key
    Completed, ///< it ran; the answer is attached
    NotResponsible, ///< the instance asked is not the incarnation named by the ticket and has no information
};

/** An outcome replaces one of lower precedence, so that reordered updates converge. 0: not a final outcome. */
int outcomePrecedence(OutcomeKind kind);

/** State of a key with its answer. */
struct KeyOutcome {
    OutcomeKind kind = OutcomeKind::Unknown;
    std::uint64_t fingerprint = 0; ///< of the first request with the key; 0 when not known
    StoredAnswer answer; ///< only when Completed

    bool operator==(const KeyOutcome &) const = default;
};

/** Why a request with a key is refused. */
enum class KeyRefusal {
    Expired, ///< the ticket has expired
    Closed, ///< the key was closed; a new ticket is needed
    TableFull, ///< the home's table is full; the key is closed
    WitnessUnreachable, ///< the witness did not confirm in time; the key is closed
    WitnessRefused, ///< the witness had closed the key, was full, or is a later incarnation; the key is closed
    Stopping, ///< the home is stopping
    Paused, ///< the home process was paused before the dispatch; the key is closed
    OutcomeUnknown, ///< an attempt ended without proof that it did not run
    KeyReused, ///< an earlier request with the key has another fingerprint
};

/** How certain a refusal is. */
enum class Certainty {
    NotRun, ///< no upstream ran the work of this key or will run it
    Unknown, ///< it may have run
};

} // namespace jackdawdoor::idempotency
