#include "settings/settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace jackdawdoor::settings {

namespace {

// A shorter key is open to brute force; 16 bytes are the usual minimum for HMAC-SHA256.
constexpr std::size_t minimumFleetKeyBytes = 16;
constexpr int maximumPort = 65535;

Error missing(const std::string &key)
{
    return Error{"build settings", key, "the value is missing"};
}

bool isAddress(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
}

} // namespace

std::string Endpoint::text() const
{
    const bool bracketed = host.find(':') != std::string::npos;
    return (bracketed ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto fault = [&](const char *reason) {
        return Error{"parse address", std::string(text), reason};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fault("expected ip:port");
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    Endpoint endpoint{std::string(host), 0};
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() || endpoint.port < 0 || endpoint.port > maximumPort) {
        return fault("the port is not a number from 0 to 65535");
    }
    if (!isAddress(endpoint.host)) {
        return fault("the host is not an IP address");
    }
    return endpoint;
}

SettingsBuilder &SettingsBuilder::identity(std::string instance, std::string dataCentre)
{
    m_settings.instance = InstanceId{std::move(instance)};
    m_settings.dataCentre = DataCentreId{std::move(dataCentre)};
    return *this;
}

SettingsBuilder &SettingsBuilder::listen(Endpoint callers, Endpoint operators, Endpoint peers)
{
    m_settings.callers = std::move(callers);
    m_settings.operators = std::move(operators);
    m_settings.peers = std::move(peers);
    return *this;
}

SettingsBuilder &SettingsBuilder::advertise(std::string callers, std::string peers)
{
    m_settings.advertisedCallers = std::move(callers);
    m_settings.advertisedPeers = std::move(peers);
    return *this;
}

SettingsBuilder &SettingsBuilder::platform(std::string logServiceUrl, std::string instanceListUrl)
{
    m_settings.logServiceUrl = std::move(logServiceUrl);
    m_settings.instanceListUrl = std::move(instanceListUrl);
    return *this;
}

SettingsBuilder &SettingsBuilder::logging(LogLevel level, LogFormat format)
{
    m_settings.logLevel = level;
    m_settings.logFormat = format;
    return *this;
}

SettingsBuilder &SettingsBuilder::fleetKey(std::string key)
{
    m_settings.fleetKey = std::move(key);
    return *this;
}

Result<Settings> SettingsBuilder::build() const
{
    if (m_settings.instance.empty()) {
        return missing("instance");
    }
    if (m_settings.dataCentre.empty()) {
        return missing("data_centre");
    }
    if (m_settings.callers.host.empty() || m_settings.operators.host.empty() || m_settings.peers.host.empty()) {
        return missing("listen");
    }
    if (m_settings.logServiceUrl.empty() || m_settings.instanceListUrl.empty()) {
        return missing("platform");
    }
    if (m_settings.fleetKey.size() < minimumFleetKeyBytes) {
        return Error{"build settings", "fleet_key", "the key has fewer than 16 bytes"};
    }
    return m_settings;
}

} // namespace jackdawdoor::settings
