/** The command `proxy`: an instance on the users' platform. */
#pragma once

#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Runs an instance until SIGTERM. An empty settingsFile stands for the path that the platform gives. Returns an ExitCode. */
int runProxy(const std::string &settingsFile, std::ostream &err);

} // namespace jackdawdoor::cli
