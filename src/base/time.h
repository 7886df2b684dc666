/** Time types of the decision core.
 *
 * The core never reads a clock: functions that depend on time take the current time as their first argument. The adapters
 * map a monotonic system clock to CoreClock; tests use virtual time.
 */
#pragma once

#include <chrono>

namespace jackdawdoor {

/** Resolution of all durations in the core. */
using Duration = std::chrono::microseconds;

/** Clock of the decision core. It has no now(), because the time is always passed in. */
struct CoreClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the clock concept
};

using TimePoint = CoreClock::time_point;

/** Converts to floating-point seconds. */
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Converts to floating-point milliseconds. */
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** Converts from floating-point seconds; truncates to microseconds. */
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace jackdawdoor
