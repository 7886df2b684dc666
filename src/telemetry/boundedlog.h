/** Log output that never blocks the process.
 *
 * Lines wait in a bounded buffer until flush() gives them to the descriptor, as far as it takes them. When the reader is
 * too slow, new lines are dropped and counted.
 */
#pragma once

#include "telemetry/log.h"

#include <cstdint>

namespace jackdawdoor::telemetry {

/** Sends all log lines of the process to the descriptor, which becomes non-blocking. Call once, before any line. */
void startBoundedLogging(LogLevel level, LogFormat format, int descriptor);

/** Writes what the descriptor takes now. */
void flushLog();

/** Lines dropped so far. */
std::uint64_t droppedLines();

} // namespace jackdawdoor::telemetry
