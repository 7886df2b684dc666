/** Refusals that callers can act on without reading prose. */
#pragma once

#include "base/time.h"

#include <optional>
#include <string>

namespace jackdawdoor::core {

/** What is known about the request that is refused. */
enum class Disposition {
    NotRun, ///< certain: no upstream ran or will run it
    Unknown, ///< it may have run; ask for the outcome later
};

/** Step of the request's way at which it was refused. */
enum class RefusalStage {
    Malformed,
    NoContract,
    NoOperation,
    TooLarge,
    KeyRequired,
    KeyExpired,
    KeyClosed,
    KeyTableFull,
    HomeUnreachable,
    WitnessUnreachable,
    CrashSuspect,
    QueueFull,
    DeadlineTooShort,
    NoUpstream,
    AttemptsExhausted,
    AnswerLost,
    Stopping,
};

/** An answer that the system gives in place of an upstream's. */
struct Refusal {
    int status = 503; ///< HTTP status
    Disposition disposition = Disposition::NotRun;
    RefusalStage stage = RefusalStage::NoUpstream;
    bool waitingHelps = false; ///< the same request may succeed later
    std::optional<Duration> retryAfter;
    std::string reason; ///< for people

    bool operator==(const Refusal &) const = default;
};

/** Name of a stage on the wire and in logs, such as "queue-full". */
std::string stageName(RefusalStage stage);

} // namespace jackdawdoor::core
