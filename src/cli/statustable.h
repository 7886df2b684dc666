/** The status of an instance as tables for people. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Prints the answer of /v1/status. False when the text is not a status; nothing is printed then. */
bool printStatus(const std::string &json, std::ostream &out);

} // namespace jackdawdoor::cli
