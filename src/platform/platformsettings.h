/** The settings file that the platform writes for each process (TOML). */
#pragma once

#include "base/error.h"
#include "proxy/proxysettings.h"

#include <string>
#include <string_view>

namespace jackdawdoor::platform {

/** Path of the settings file, from the environment; empty when it is not set. */
std::string settingsPath();

/** Reads the settings. Unknown fields are ignored; a missing or malformed one that is needed is an error. */
Result<proxy::ProxySettings> parseSettings(std::string_view text, const std::string &fileName);

/** Reads the file. */
Result<proxy::ProxySettings> readSettings(const std::string &fileName);

} // namespace jackdawdoor::platform
