/** The command `proxy`: an instance on the users' platform. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Runs an instance until SIGTERM. settingsFile empty: the path that the platform gives. Returns the exit code. */
int runProxy(const std::string &settingsFile, std::ostream &err);

} // namespace jackdawdoor::cli
