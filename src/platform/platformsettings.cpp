#include "platform/platformsettings.h"

#include "platform/names.h"

#include <toml++/toml.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>

namespace jackdawdoor::platform {

namespace {

constexpr const char *step = "read settings";

/** Value of an entry of the list "bounds", whose entries have the form "name=value". */
std::optional<double> findBound(const toml::table &table, std::string_view name)
{
    const toml::array *bounds = table["bounds"].as_array();
    if (bounds == nullptr) {
        return std::nullopt;
    }
    for (const toml::node &node : *bounds) {
        const std::string text = node.value_or(std::string{});
        const std::size_t equals = text.find('=');
        if (equals != std::string::npos && std::string_view(text).substr(0, equals) == name) {
            char *end = nullptr;
            const double value = std::strtod(text.c_str() + equals + 1, &end);
            return *end == '\0' ? std::optional(value) : std::nullopt;
        }
    }
    return std::nullopt;
}

Result<settings::Endpoint> endpointAt(const toml::node_view<const toml::node> &node, const char *key, const std::string &fileName)
{
    const auto text = node.value<std::string>();
    if (!text) {
        return Error{step, fileName, std::string(key) + " is missing"};
    }
    return settings::parseEndpoint(*text);
}

/** Count in the table "limits"; zero if it is not stated, or not positive. */
std::size_t limitAt(const toml::table &root, std::string_view key)
{
    const std::int64_t value = root["limits"][key].value_or(std::int64_t{0});
    return value > 0 ? static_cast<std::size_t>(value) : 0;
}

/** The platform may mean MiB by MB; the smaller one is safe. */
constexpr std::size_t bytesPerMegabyte = 1000000;

/** Index into "internal-ports", and offset of the metrics port from the port between instances. */
constexpr int peerPortIndex = 0;
constexpr int metricsPortIndex = 1;

} // namespace

std::string settingsPath()
{
    const char *path = std::getenv(names::settingsVariable);
    return path == nullptr ? std::string{} : path;
}

Result<proxy::ProxySettings> parseSettings(std::string_view text, const std::string &fileName)
{
    toml::table table;
    try {
        table = toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        return Error{step, fileName, std::string(error.description())};
    }
    const toml::table &root = table;
    proxy::ProxySettings settings;
    settings.instance = InstanceId{root["node-name"].value_or(std::string{})};
    settings.dataCentre = DataCentreId{root["zone"].value_or(std::string{})};
    const std::string ip = root["ip"].value_or(std::string{});
    const int peerPort = root["internal-ports"][peerPortIndex].value_or(0);
    if (settings.instance.empty() || settings.dataCentre.empty() || ip.empty() || peerPort == 0) {
        return Error{step, fileName, "node-name, zone, ip or internal-ports is missing"};
    }
    settings.peers = {ip, peerPort};
    settings.metrics = {ip, peerPort + metricsPortIndex};
    const struct {
        const char *key;
        toml::node_view<const toml::node> node;
        settings::Endpoint &endpoint;
    } endpoints[] = {{"listen.front", root["listen"]["front"], settings.callers},
                     {"listen.ready", root["listen"]["ready"], settings.readiness},
                     {"listen.directory", root["listen"]["directory"], settings.directory},
                     {"platform.address", root["platform"]["address"], settings.store}};
    for (const auto &wanted : endpoints) {
        const auto endpoint = endpointAt(wanted.node, wanted.key, fileName);
        if (!endpoint.has_value()) {
            return endpoint.error();
        }
        wanted.endpoint = endpoint.value();
    }
    if (const toml::array *seeds = root["seeds"].as_array()) {
        for (const toml::node &seed : *seeds) {
            // A seed contains the port of another interface; the port between instances is the same on all machines.
            const auto endpoint = settings::parseEndpoint(seed.value_or(std::string{}));
            if (endpoint.has_value()) {
                settings.seeds.push_back({endpoint.value().host, peerPort});
            }
        }
    }
    settings.fleetStarts = root["bootstrap"].value_or(false);
    settings.retryLimits.ratio = findBound(root, "retry-budget-ratio").value_or(settings.retryLimits.ratio);
    settings.retryLimits.slack = findBound(root, "retry-budget-slack").value_or(settings.retryLimits.slack);
    settings.retryLimits.window = fromSeconds(findBound(root, "budget-window-s").value_or(toSeconds(settings.retryLimits.window)));
    settings.floorShare = findBound(root, "floor-share").value_or(settings.floorShare);
    settings.stopGracePeriod = fromSeconds(findBound(root, "grace-s").value_or(toSeconds(settings.stopGracePeriod)));
    settings.directoryTtl = fromSeconds(findBound(root, "ttl_max_s").value_or(toSeconds(settings.directoryTtl)));
    settings.memoryBytes = limitAt(root, "memory-mb") * bytesPerMegabyte;
    settings.maximumDescriptors = limitAt(root, "max-fds");
    return settings;
}

Result<proxy::ProxySettings> readSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return Error{step, fileName, "the file cannot be opened"};
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parseSettings(text, fileName);
}

} // namespace jackdawdoor::platform
