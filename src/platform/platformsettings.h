/** Reader of the TOML settings file that the platform writes for each process. */
#pragma once

#include "base/error.h"
#include "proxy/proxysettings.h"

#include <string>
#include <string_view>

namespace jackdawdoor::platform {

/** Path of the settings file from the environment; empty if it is not set. */
std::string settingsPath();

/** Parses settings. Unknown fields are ignored; a missing or malformed required field is an error. fileName is for errors. */
Result<proxy::ProxySettings> parseSettings(std::string_view text, const std::string &fileName);

/** Reads and parses the file. */
Result<proxy::ProxySettings> readSettings(const std::string &fileName);

} // namespace jackdawdoor::platform
