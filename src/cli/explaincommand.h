/** The command `explain`: prints the values derived from a contract file. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Prints each derived value with its unit, rule and contract line, as an aligned table or as JSON.
 *
 * Returns the process's exit code: 0, 1 when the contract has faults (printed to `err`), 2 when the file can't be read.
 */
int runExplain(const std::string &file, bool json, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
