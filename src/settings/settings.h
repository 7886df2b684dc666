/** Settings of one process.
 *
 * A settings file contains only the instance's identity, its listeners and the addresses of the platform. Behaviour is
 * configured by the contracts alone, so there are no settings for limits, timeouts or budgets.
 */
#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <string>
#include <string_view>

namespace jackdawdoor::settings {

/** Minimum severity of logged lines. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Format of a log line. */
enum class LogFormat {
    Text,
    Json,
};

/** "ip:port" of a listener or of a peer. */
struct Endpoint {
    std::string host; ///< IP address, without brackets
    int port = 0; ///< 0 lets the operating system choose a port when listening

    bool operator==(const Endpoint &) const = default;

    /** "host:port", with brackets around an IPv6 address. */
    std::string text() const;
};

/** Parses "ip:port" or "[ip]:port". */
Result<Endpoint> parseEndpoint(std::string_view text);

/** Values of one settings file. */
struct Settings {
    InstanceId instance;
    DataCentreId dataCentre;
    Endpoint callers; ///< address on which callers are served
    Endpoint operators; ///< address of metrics and status
    Endpoint peers; ///< address on which other instances connect
    std::string advertisedCallers; ///< address given to callers; empty: the bound one
    std::string advertisedPeers; ///< address given to other instances; empty: the bound one
    std::string logServiceUrl; ///< base URL of the append-only log service
    std::string instanceListUrl; ///< URL of the instance list
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    std::string fleetKey; ///< secret shared by all instances of the fleet

    bool operator==(const Settings &) const = default;
};

/** Builds Settings, in code and for the reader of settings files. */
class SettingsBuilder
{
public:
    SettingsBuilder &identity(std::string instance, std::string dataCentre);
    SettingsBuilder &listen(Endpoint callers, Endpoint operators, Endpoint peers);
    SettingsBuilder &advertise(std::string callers, std::string peers);
    SettingsBuilder &platform(std::string logServiceUrl, std::string instanceListUrl);
    SettingsBuilder &logging(LogLevel level, LogFormat format);
    SettingsBuilder &fleetKey(std::string key);

    /** The settings, or an error that names the first value that is missing or too short. */
    Result<Settings> build() const;

private:
    Settings m_settings;
};

/** Parses JSON with comments. fileName appears in errors; a relative fleet_key_file is resolved against its folder. */
Result<Settings> parseSettings(std::string_view text, const std::string &fileName);

/** Reads and parses a settings file. */
Result<Settings> readSettings(const std::string &fileName);

} // namespace jackdawdoor::settings
