/** Command line of the jackdawdoor program. */
#pragma once

#include "net/server.h"

#include <ostream>

namespace jackdawdoor::cli {

/** Exit codes of all commands. */
enum ExitCode : int {
    Success = 0,
    Failed = 1, ///< the command ran and its result is negative: refused, rejected, not valid, cannot start
    Usage = 2, ///< the command line is wrong, or a named file cannot be read
    Unreachable = 3, ///< no answer from the instance or the platform; the result is unknown
    LostRace = 4, ///< publish: another publish came first
    NotEverywhere = 5, ///< publish: accepted, but not in force on each instance before the wait timed out
};

/** Runs the command named by the first argument and returns its exit code.
 *
 * makeCore makes the decision core that `serve` runs.
 */
int runCommandLine(int argc, char **argv, const net::CoreFactory &makeCore, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
