/** Commands that query a running instance over HTTP. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Prints the status of the instance at an operators' address ("http://ip:port"), as tables or as JSON. Returns an
 * ExitCode. */
int runStatus(const std::string &instanceUrl, bool json, std::ostream &out, std::ostream &err);

/** Prints the placement of a caller of a service, queried at an instance's callers' address. Returns an ExitCode. */
int runPlace(const std::string &instanceUrl,
             const std::string &customer,
             const std::string &service,
             const std::string &caller,
             std::ostream &out,
             std::ostream &err);

} // namespace jackdawdoor::cli
