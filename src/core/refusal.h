/** Machine-readable refusals. */
#pragma once

#include "base/time.h"

#include <optional>
#include <string>

namespace jackdawdoor::core {

/** Whether a refused request may have run. */
enum class Disposition {
    NotRun, ///< no upstream ran it or will run it
    Unknown, ///< it may have run; callers can query the outcome later
};

/** Step of request processing at which the request was refused. */
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

/** Answer of the proxy in place of an upstream's. */
struct Refusal {
    int status = 503; ///< HTTP status
    Disposition disposition = Disposition::NotRun;
    RefusalStage stage = RefusalStage::NoUpstream;
    bool waitingHelps = false; ///< the request may succeed if it is sent again later
    std::optional<Duration> retryAfter;
    std::string reason; ///< human-readable

    bool operator==(const Refusal &) const = default;
};

/** Name of a stage in answers and logs, such as "queue-full". */
std::string stageName(RefusalStage stage);

} // namespace jackdawdoor::core
