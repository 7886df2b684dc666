/** Decides which requests end when the memory for bodies and answers is short. */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** A body or answer that stands still for less than this is not ended for it. Packet loss delays bytes by up to a second. */
constexpr Duration memoryStallGrace = std::chrono::seconds{2};

/** A request that can't be read for lack of memory is refused after this time, while its caller still has time for another
 * attempt. */
constexpr Duration maximumMemoryWait = std::chrono::seconds{2};

/** What a request that holds memory does. */
enum class MemoryPhase {
    Receiving, ///< its body arrives
    Running, ///< at an upstream
    Answering, ///< bytes of its answer wait for the caller
};

/** A request or answer and the memory that it holds. */
struct MemoryHolder {
    std::uint64_t id = 0;
    MemoryPhase phase = MemoryPhase::Receiving;
    std::size_t bytes = 0;
    TimePoint began{}; ///< when the request began
    TimePoint progressed{}; ///< when its bytes last moved
    std::optional<TimePoint> waitingSince{}; ///< when it was first not read for lack of memory, until it is read again
    std::size_t inputBytes = 0; ///< unread input behind the request

    bool operator==(const MemoryHolder &) const = default;
};

/** How a request is ended. */
enum class MemoryRelief {
    CloseStopped, ///< its body stopped: 408
    DropInput, ///< the request goes on; the input behind it, which has not been read, is dropped
    Refuse, ///< it has not run and will not: 503
    AbortUnread, ///< its caller does not read the answer
    AbortRunning, ///< it runs at an upstream
};

/** Name for metrics and log lines, such as "body-stopped". */
const char *memoryReliefName(MemoryRelief relief);

struct MemoryReliefStep {
    std::uint64_t id = 0;
    MemoryRelief relief = MemoryRelief::Refuse;

    bool operator==(const MemoryReliefStep &) const = default;
};

/** Bytes that are missing. */
struct MemoryNeed {
    std::size_t wanted = 0; ///< by requests that wait for memory
    std::size_t overdraft = 0; ///< in use beyond the limit of the account

    bool operator==(const MemoryNeed &) const = default;
};

/** Returns the requests to end now, so that the needed bytes become free: first those whose body has stopped and then those
 * whose answer is not read, the longest first. For an overdraft, the input behind other requests is dropped, the largest first.
 * Then the newest request that has waited too long is refused, one per call, since the others may do with its memory. For an
 * overdraft, requests that are being received are refused, and only then those that run are ended, the newest first. */
std::vector<MemoryReliefStep> relieveMemory(TimePoint now, const MemoryNeed &need, std::vector<MemoryHolder> holders);

} // namespace jackdawdoor::limits
