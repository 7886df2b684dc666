/** The status of an instance as tables. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Prints the answer of /v1/status. Returns false and prints nothing when the text is not a status. */
bool printStatus(const std::string &json, std::ostream &out);

} // namespace jackdawdoor::cli
