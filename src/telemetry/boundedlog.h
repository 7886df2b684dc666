/** Non-blocking log output.
 *
 * Lines are kept in a bounded buffer until flushLog() writes as many as the descriptor accepts. When the reader is too
 * slow, new lines are dropped and counted.
 */
#pragma once

#include "telemetry/log.h"

#include <cstdint>

namespace jackdawdoor::telemetry {

/** Writes all log lines of the process to the descriptor, which is made non-blocking. Call once, before the first line. */
void startBoundedLogging(LogLevel level, LogFormat format, int descriptor);

/** Writes buffered lines until the descriptor would block. */
void flushLog();

/** Lines dropped so far. */
std::uint64_t droppedLines();

} // namespace jackdawdoor::telemetry
