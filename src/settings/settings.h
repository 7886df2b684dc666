/** Settings of one process.
 *
 * A settings file says only who the instance is, where it listens and where the platform is. Behaviour is set by the
 * contracts and by nothing else, so no limit, timeout or budget can be written here.
 */
#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <string>
#include <string_view>

namespace jackdawdoor::settings {

/** Least severity that is written to the log. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Form of a log line. */
enum class LogFormat {
    Text,
    Json,
};

/** "ip:port" of a listener or of a peer. */
struct Endpoint {
    std::string host; ///< IP address, without brackets
    int port = 0; ///< 0 lets the system choose when listening

    bool operator==(const Endpoint &) const = default;

    /** "host:port", with brackets around an IPv6 address. */
    std::string text() const;
};

/** Reads "ip:port" or "[ip]:port". The error's reason says what is wrong with the text. */
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

/** Builds Settings in code; build() refuses what a settings file could not say either. */
class SettingsBuilder
{
public:
    SettingsBuilder &identity(std::string instance, std::string dataCentre);
    SettingsBuilder &listen(Endpoint callers, Endpoint operators, Endpoint peers);
    SettingsBuilder &advertise(std::string callers, std::string peers);
    SettingsBuilder &platform(std::string logServiceUrl, std::string instanceListUrl);
    SettingsBuilder &logging(LogLevel level, LogFormat format);
    SettingsBuilder &fleetKey(std::string key);

    /** The settings, or the first value that is missing or too short. */
    Result<Settings> build() const;

private:
    Settings m_settings;
};

/** Parses JSON with comments. fileName appears in errors and is the folder base of a relative fleet key file. */
Result<Settings> parseSettings(std::string_view text, const std::string &fileName);

/** Reads and parses a settings file. */
Result<Settings> readSettings(const std::string &fileName);

} // namespace jackdawdoor::settings
