/** Settings files with one error each: the message must name file, key and reason. */
#include "settings/settings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace jackdawdoor;
using nlohmann::json;

namespace {

json goodSettings()
{
    return json::parse(R"({
        "instance": "i-1", "data_centre": "north-1",
        "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "[::1]:7000"},
        "advertise": {"callers": "10.0.0.1:80"},
        "platform": {"log_service": "http://127.0.0.1:9000", "instance_list": "http://127.0.0.1:9001/instances"},
        "log": {"level": "debug", "format": "json"},
        "fleet_key": "0123456789abcdef"
    })");
}

} // namespace

TEST_CASE("settings with comments are parsed")
{
    const auto read = settings::parseSettings("// one instance\n" + goodSettings().dump(), "a.json");
    REQUIRE_MESSAGE(read.has_value(), "valid settings were rejected");
    const auto built = settings::SettingsBuilder()
                           .identity("i-1", "north-1")
                           .listen({"127.0.0.1", 0}, {"127.0.0.1", 0}, {"::1", 7000})
                           .advertise("10.0.0.1:80", "")
                           .platform("http://127.0.0.1:9000", "http://127.0.0.1:9001/instances")
                           .logging(settings::LogLevel::Debug, settings::LogFormat::Json)
                           .fleetKey("0123456789abcdef")
                           .build();
    CHECK_MESSAGE(read.value() == built.value(), "a value was read into the wrong member");
    CHECK_MESSAGE(read.value().peers.text() == "[::1]:7000", "an IPv6 endpoint lost its brackets");
}

TEST_CASE("each error names file, key and reason")
{
    struct Case {
        const char *pointer;
        json value; ///< discarded: the key is removed
        const char *key;
        const char *reason;
    };
    const json removed(json::value_t::discarded);
    const std::vector<Case> cases{
        {"/instance", removed, "'instance'", "missing"},
        {"/instance", 7, "'instance'", "expected a string, found number"},
        {"/data_centre", "", "'data_centre'", "empty"},
        {"/listen", removed, "'listen.callers'", "missing"},
        {"/listen", "x", "'listen'", "expected an object, found string"},
        {"/listen/callers", "127.0.0.1", "'listen.callers'", "expected ip:port"},
        {"/listen/callers", "127.0.0.1:65536", "'listen.callers'", "from 0 to 65535"},
        {"/listen/peers", "localhost:1", "'listen.peers'", "not an IP address"},
        {"/advertise/callers", "10.0.0.1:0", "'advertise.callers'", "needs a port"},
        {"/platform/log_service", "127.0.0.1:9", "'platform.log_service'", "starts with http://"},
        {"/log/level", "loud", "'log.level'", "debug, info, warning or error"},
        {"/log/format", 1, "'log.format'", "expected a string"},
        {"/fleet_key", "short", "'fleet_key'", "fewer than 16 bytes"},
        {"/fleet_key", removed, "'fleet_key'", "exactly one of"},
        {"/fleet_key_file", "k", "'fleet_key'", "exactly one of"},
        {"/timeout_ms", 5, "'timeout_ms'", "unknown key"},
        {"/platform/retries", 5, "'platform.retries'", "unknown key"},
    };
    for (const Case &entry : cases) {
        json changed = goodSettings();
        const json::json_pointer pointer(entry.pointer);
        if (entry.value.is_discarded()) {
            changed.at(pointer.parent_pointer()).erase(pointer.back());
        } else {
            changed[pointer] = entry.value;
        }
        const auto read = settings::parseSettings(changed.dump(), "a.json");
        REQUIRE_MESSAGE(!read.has_value(), "an error at " << entry.pointer << " was accepted");
        const std::string message = read.error().message();
        CHECK_MESSAGE(message.find("a.json") != std::string::npos, "the file is not named: " << message);
        CHECK_MESSAGE(message.find(entry.key) != std::string::npos, "the key is not named: " << message);
        CHECK_MESSAGE(message.find(entry.reason) != std::string::npos, "the reason is not given: " << message);
    }
    CHECK_MESSAGE(!settings::parseSettings("{", "a.json").has_value(), "text that is not JSON was accepted");
    CHECK_MESSAGE(!settings::readSettings("no-such-file.json").has_value(), "a missing file was accepted");
}
