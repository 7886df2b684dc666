#include "platform/documents.h"

#include "net/fleetauthentication.h"
#include "net/httpmessage.h"
#include "proxy/usableentry.h"
#include "settings/settings.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace jackdawdoor::platform {

using nlohmann::json;

namespace {

constexpr int hexadecimal = 16;

/** Number of a version; nothing unless all of the text is one. */
std::optional<std::uint64_t> decodeVersion(const std::string &text)
{
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version, hexadecimal);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole ? std::optional(version) : std::nullopt;
}

Duration milliseconds(const json &object, const char *key)
{
    constexpr double dayMilliseconds = 24.0 * 3600 * 1000;
    // Larger numbers would overflow when they are added to a time.
    return fromSeconds(std::clamp(object.value(key, 0.0), -dayMilliseconds, dayMilliseconds) / 1000);
}

/** Only these route types are known to be idempotent; all others, including unknown ones, are treated as unsafe. */
routing::Repeatability decodeRouteType(const std::string &kind)
{
    return kind == "safe" || kind == "download" ? routing::Repeatability::Idempotent : routing::Repeatability::AtMostOnce;
}

routing::Route decodeRule(const std::string &host, const json &rule)
{
    const json &action = rule.at("action");
    routing::Route route;
    route.name = rule.value("name", std::string{});
    route.host = host;
    route.pathPrefix = rule.at("match").at("path-prefix").get<std::string>();
    route.repeatability = decodeRouteType(rule.value("route-type", std::string{}));
    if (action.contains("traffic-split")) {
        for (const json &part : action.at("traffic-split")) {
            route.services.push_back({ServiceId{part.at("service").get<std::string>()}, part.value("weight", 0.0)});
        }
    } else {
        route.services.push_back({ServiceId{action.at("service").get<std::string>()}, 1});
    }
    route.timeout = milliseconds(action, "timeout-ms");
    route.latencyObjective = milliseconds(rule, "slo-latency-ms");
    route.maxAttempts = action.value("max-attempts", 1);
    route.priority = rule.value("priority", 0);
    route.isPublic = rule.value("public", false);
    return route;
}

routing::CallerLimits decodeLimits(const json &document)
{
    routing::CallerLimits limits;
    if (!document.contains("limits")) {
        return limits;
    }
    const json &in = document.at("limits");
    limits.maximumHeaderBytes = in.value("max-header-bytes", limits.maximumHeaderBytes);
    limits.maximumBodyBytes = in.value("max-body-bytes", limits.maximumBodyBytes);
    if (in.contains("header-timeout-ms")) {
        limits.headerTimeout = milliseconds(in, "header-timeout-ms");
    }
    if (in.contains("idle-timeout-ms")) {
        limits.idleTimeout = milliseconds(in, "idle-timeout-ms");
    }
    return limits;
}

routing::Organisation decodeOrganisation(const json &in)
{
    routing::Organisation organisation;
    organisation.name = routing::OrganisationId{in.at("name").get<std::string>()};
    if (in.contains("priority")) {
        organisation.priority = in.at("priority").get<int>();
    }
    organisation.requestsPerSecond = in.value("rate-per-s", 0.0);
    organisation.burst = in.value("burst", 0.0);
    return organisation;
}

Result<routing::OrganisationTable> decodeOrganisations(const json &document)
{
    if (!document.contains("tenants")) {
        return routing::OrganisationTable{};
    }
    // The hash key is new for each version and never leaves the process.
    routing::OrganisationTable::Builder builder([secret = net::randomNonce()](std::string_view apiKey) {
        return net::hmacSha256(secret, apiKey);
    });
    for (const json &in : document.at("tenants").get_ref<const json::array_t &>()) {
        routing::Organisation organisation = decodeOrganisation(in);
        if (!net::isHeaderValue(organisation.name.value)) {
            return Error{"decode configuration", "store", "the name of an organisation is empty or has control characters"};
        }
        if (organisation.requestsPerSecond < 0 || organisation.burst < 0) {
            return Error{"decode configuration", "store", "the quota of organisation " + organisation.name.value + " is negative"};
        }
        builder.add(std::move(organisation), in.value("api-keys", std::vector<std::string>{}));
    }
    return builder.build();
}

void logSharedKeys(const routing::OrganisationTable &organisations)
{
    for (const routing::SharedApiKey &shared : organisations.sharedKeys()) {
        telemetry::writeLog(telemetry::LogLevel::Warning,
                            "decode configuration",
                            "two organisations have the same API key",
                            {{"accepted-for", shared.owner.value}, {"not-for", shared.other.value}});
    }
}

/** Describes an error without the text of the document, since that may be an API key. */
std::string describe(const json::exception &error)
{
    const auto *parseError = dynamic_cast<const json::parse_error *>(&error);
    return parseError != nullptr ? "not valid JSON at byte " + std::to_string(parseError->byte) : error.what();
}

} // namespace

Result<routing::RouteTablePointer> decodeConfiguration(std::string_view text)
{
    try {
        const json document = json::parse(text);
        const auto version = decodeVersion(document.at("version").get<std::string>());
        if (!version) {
            return Error{"decode configuration", "store", "the version is not a hexadecimal number"};
        }
        std::vector<routing::Route> routes;
        for (const json &listener : document.at("listeners")) {
            const auto host = listener.at("host").get<std::string>();
            for (const json &rule : listener.at("rules")) {
                routes.push_back(decodeRule(host, rule));
                if (routes.back().services.empty()) {
                    return Error{"decode configuration", "store", "a route has no service"};
                }
            }
        }
        std::vector<routing::ServiceLimits> services;
        for (const json &cluster : document.at("clusters")) {
            services.push_back({ServiceId{cluster.at("name").get<std::string>()}, cluster.value("max-conns", 0)});
        }
        Result<routing::OrganisationTable> organisations = decodeOrganisations(document);
        if (!organisations.has_value()) {
            return organisations.error();
        }
        logSharedKeys(organisations.value());
        return routing::RouteTablePointer(std::make_shared<const routing::RouteTable>(
            *version, std::move(routes), std::move(services), decodeLimits(document), std::move(organisations.value())));
    } catch (const json::exception &error) {
        return Error{"decode configuration", "store", describe(error)};
    }
}

std::optional<fleet::UpstreamEntry> decodeUpstream(std::string_view key, std::string_view text)
{
    try {
        const json document = json::parse(text);
        const json &info = document.at("info");
        const json &status = document.at("status");
        fleet::UpstreamEntry entry;
        entry.id = UpstreamId{std::string(key)};
        entry.address = document.at("address").get<std::string>();
        entry.service = ServiceId{info.at("service").get<std::string>()};
        entry.dataCentre = DataCentreId{info.at("zone").get<std::string>()};
        const json &slots = info.at("slots");
        const json &sequence = status.at("seq-no");
        const auto state = status.at("state").get<std::string>();
        const bool known = state == "ready" || state == "draining";
        if (!known || !slots.is_number_integer() || !sequence.is_number_integer()) {
            return std::nullopt;
        }
        entry.slots = slots.get<int>();
        entry.sequence = sequence.get<std::int64_t>();
        entry.status = state == "ready" ? fleet::UpstreamStatus::Ready : fleet::UpstreamStatus::Draining;
        entry.warmupLeft = milliseconds(status, "warmup-left-ms");
        // Start of the upstream's incarnation; an entry with a non-integer value is not an upstream's.
        if (document.contains("born")) {
            if (!document.at("born").is_number_integer()) {
                return std::nullopt;
            }
            entry.incarnation = document.at("born").get<std::int64_t>();
        }
        return proxy::isUsableEntry(entry) ? std::optional(entry) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<membership::ListedInstance> decodeInstance(std::string_view key, std::string_view text)
{
    try {
        const json document = json::parse(text);
        membership::ListedInstance instance{InstanceId{std::string(key)},
                                            document.at("address").get<std::string>(),
                                            DataCentreId{document.at("zone").get<std::string>()},
                                            false};
        const bool usable = !instance.id.empty() && settings::parseEndpoint(instance.address).has_value();
        return usable ? std::optional(std::move(instance)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encodeInstance(const membership::ListedInstance &instance)
{
    return json{{"address", instance.address}, {"zone", instance.dataCentre.value}}.dump();
}

} // namespace jackdawdoor::platform
