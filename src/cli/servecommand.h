/** The command `serve`: runs an instance. */
#pragma once

#include "net/server.h"

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Runs an instance until SIGTERM or SIGINT starts its planned stop; a second signal ends it at once.
 *
 * Prints one line with the bound addresses to out. Returns an ExitCode.
 */
int runServe(const std::string &settingsFile, const net::CoreFactory &makeCore, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
