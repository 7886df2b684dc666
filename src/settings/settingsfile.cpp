/** Parser of settings files; each error names the file, the key and the reason. */
#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <optional>
#include <sstream>

namespace jackdawdoor::settings {

namespace {

using nlohmann::json;

/** Reader of one JSON object that keeps the first error. */
class ObjectReader
{
public:
    ObjectReader(const json &object, std::string path, std::optional<std::string> &fault)
        : m_object(object)
        , m_path(std::move(path))
        , m_fault(fault)
    {
    }

    void allowOnly(std::initializer_list<const char *> keys)
    {
        if (!m_object.is_object()) {
            report("", std::string("expected an object, found ") + m_object.type_name());
            return;
        }
        for (const auto &item : m_object.items()) {
            bool known = false;
            for (const char *key : keys) {
                known = known || item.key() == key;
            }
            if (!known) {
                report(item.key(), "unknown key");
            }
        }
    }

    bool has(const char *key) const
    {
        return m_object.is_object() && m_object.contains(key);
    }

    std::string text(const char *key)
    {
        if (!has(key)) {
            report(key, "the value is missing");
            return {};
        }
        const json &value = m_object.at(key);
        if (!value.is_string()) {
            report(key, std::string("expected a string, found ") + value.type_name());
            return {};
        }
        if (value.get_ref<const std::string &>().empty()) {
            report(key, "the value is empty");
        }
        return value.get<std::string>();
    }

    std::string optionalText(const char *key)
    {
        return has(key) ? text(key) : std::string{};
    }

    Endpoint endpoint(const char *key)
    {
        const std::string value = text(key);
        const auto parsed = parseEndpoint(value);
        if (!parsed.has_value()) {
            report(key, "'" + value + "': " + parsed.error().reason);
            return {};
        }
        return parsed.value();
    }

    std::string optionalAddress(const char *key)
    {
        if (!has(key)) {
            return {};
        }
        const Endpoint value = endpoint(key);
        if (value.port == 0) {
            report(key, "an advertised address needs a port");
        }
        return value.text();
    }

    std::string url(const char *key)
    {
        std::string value = text(key);
        if (!value.starts_with("http://")) {
            report(key, "'" + value + "': expected a URL that starts with http://");
        }
        return value;
    }

    ObjectReader child(const char *key)
    {
        static const json absent = json::object();
        return {has(key) ? m_object.at(key) : absent, path(key), m_fault};
    }

    void report(const std::string &key, const std::string &reason)
    {
        if (!m_fault) {
            m_fault = "key '" + path(key) + "': " + reason;
        }
    }

private:
    std::string path(const std::string &key) const
    {
        if (m_path.empty() || key.empty()) {
            return m_path + key;
        }
        return m_path + "." + key;
    }

    const json &m_object;
    std::string m_path;
    std::optional<std::string> &m_fault;
};

LogLevel readLevel(ObjectReader &log)
{
    const std::string name = log.has("level") ? log.text("level") : "info";
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    if (name == "error") {
        return LogLevel::Error;
    }
    if (name != "info") {
        log.report("level", "'" + name + "': expected debug, info, warning or error");
    }
    return LogLevel::Info;
}

LogFormat readFormat(ObjectReader &log)
{
    const std::string name = log.has("format") ? log.text("format") : "text";
    if (name == "json") {
        return LogFormat::Json;
    }
    if (name != "text") {
        log.report("format", "'" + name + "': expected text or json");
    }
    return LogFormat::Text;
}

std::string readFleetKey(ObjectReader &root, const std::string &fileName)
{
    if (root.has("fleet_key") == root.has("fleet_key_file")) {
        root.report("fleet_key", "expected exactly one of fleet_key and fleet_key_file");
        return {};
    }
    if (root.has("fleet_key")) {
        return root.text("fleet_key");
    }
    std::filesystem::path path = root.text("fleet_key_file");
    if (path.is_relative()) {
        path = std::filesystem::path(fileName).parent_path() / path;
    }
    std::ifstream stream(path, std::ios::binary);
    std::string key{std::istreambuf_iterator<char>(stream), {}};
    if (!stream.is_open()) {
        root.report("fleet_key_file", "'" + path.string() + "' cannot be read");
    }
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    return key;
}

SettingsBuilder readAll(ObjectReader root, const std::string &fileName)
{
    root.allowOnly({"instance", "data_centre", "listen", "advertise", "platform", "log", "fleet_key", "fleet_key_file"});
    // Each value is read in its own statement: the evaluation order of arguments is unspecified, and the first error is reported.
    SettingsBuilder builder;
    const std::string instance = root.text("instance");
    const std::string dataCentre = root.text("data_centre");
    builder.identity(instance, dataCentre);
    ObjectReader listen = root.child("listen");
    listen.allowOnly({"callers", "operators", "peers"});
    const Endpoint callers = listen.endpoint("callers");
    const Endpoint operators = listen.endpoint("operators");
    const Endpoint peers = listen.endpoint("peers");
    builder.listen(callers, operators, peers);
    ObjectReader advertise = root.child("advertise");
    advertise.allowOnly({"callers", "peers"});
    const std::string advertisedCallers = advertise.optionalAddress("callers");
    const std::string advertisedPeers = advertise.optionalAddress("peers");
    builder.advertise(advertisedCallers, advertisedPeers);
    ObjectReader platform = root.child("platform");
    platform.allowOnly({"log_service", "instance_list"});
    const std::string logService = platform.url("log_service");
    const std::string instanceList = platform.url("instance_list");
    builder.platform(logService, instanceList);
    ObjectReader log = root.child("log");
    log.allowOnly({"level", "format"});
    const LogLevel level = readLevel(log);
    const LogFormat format = readFormat(log);
    builder.logging(level, format);
    builder.fleetKey(readFleetKey(root, fileName));
    return builder;
}

} // namespace

Result<Settings> parseSettings(std::string_view text, const std::string &fileName)
{
    const auto fault = [&](std::string reason) {
        return Error{"read settings", fileName, std::move(reason)};
    };
    json document;
    try {
        document = json::parse(text, nullptr, true, true);
    } catch (const json::parse_error &error) {
        return fault(std::string("invalid JSON: ") + error.what());
    }
    std::optional<std::string> first;
    const SettingsBuilder builder = readAll(ObjectReader(document, "", first), fileName);
    if (first) {
        return fault(*first);
    }
    auto built = builder.build();
    if (!built.has_value()) {
        return fault("key '" + built.error().peer + "': " + built.error().reason);
    }
    return built;
}

Result<Settings> readSettings(const std::string &fileName)
{
    std::ifstream stream(fileName, std::ios::binary);
    if (!stream) {
        return Error{"read settings", fileName, "the file cannot be opened"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), fileName);
}

} // namespace jackdawdoor::settings
