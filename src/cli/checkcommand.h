/** The command that checks a contract file. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Checks the contract in a file. Faults go to `err`, one block for each with line, key, reason and accepted range.
 *
 * Returns the process's exit code: 0 when the contract is accepted, 1 when it has faults, 2 when the file can't be read.
 */
int runCheck(const std::string &file, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
