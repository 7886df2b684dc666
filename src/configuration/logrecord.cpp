#include "configuration/logrecord.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::configuration {

using Json = nlohmann::json;

namespace {

/** Text of the named field; nullopt when it is absent or of another type. */
std::optional<std::string> readText(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? std::optional{found->get<std::string>()} : std::nullopt;
}

std::optional<std::uint64_t> readNumber(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_number_unsigned() ? std::optional{found->get<std::uint64_t>()} : std::nullopt;
}

/** Requires either a body or a tombstone, so that a missing field can't delete a customer. */
bool readBody(const Json &json, std::optional<std::string> &body)
{
    body = readText(json, "body");
    const auto tombstone = json.find("tombstone");
    const bool isTombstone = tombstone != json.end() && tombstone->is_boolean() && tombstone->get<bool>();
    return body.has_value() != isTombstone;
}

std::optional<LogRecord> readPublish(const Json &json)
{
    Publish publish;
    const auto customer = readText(json, "customer");
    const auto publishId = readText(json, "publishId");
    const auto baseVersion = readNumber(json, "baseVersion");
    if (!customer || customer->empty() || !publishId || !baseVersion || !readBody(json, publish.body)) {
        return std::nullopt;
    }
    publish.customer.value = *customer;
    publish.publishId = *publishId;
    publish.baseVersion = *baseVersion;
    return publish;
}

std::optional<LogRecord> readSnapshot(const Json &json)
{
    Snapshot snapshot;
    const auto customer = readText(json, "customer");
    const auto version = readNumber(json, "version");
    const auto asOf = readNumber(json, "asOf");
    if (!customer || customer->empty() || !version || !asOf || !readBody(json, snapshot.body)) {
        return std::nullopt;
    }
    snapshot.customer.value = *customer;
    snapshot.version = *version;
    snapshot.asOf = *asOf;
    return snapshot;
}

void writeBody(Json &json, const std::optional<std::string> &body)
{
    if (body) {
        json["body"] = *body;
    } else {
        json["tombstone"] = true;
    }
}

Json toJson(const Publish &publish)
{
    Json json{
        {"kind", "publish"}, {"customer", publish.customer.value}, {"publishId", publish.publishId}, {"baseVersion", publish.baseVersion}};
    writeBody(json, publish.body);
    return json;
}

Json toJson(const Snapshot &snapshot)
{
    Json json{{"kind", "snapshot"}, {"customer", snapshot.customer.value}, {"version", snapshot.version}, {"asOf", snapshot.asOf}};
    writeBody(json, snapshot.body);
    return json;
}

Json toJson(const CycleEnd &cycleEnd)
{
    return Json{{"kind", "cycleEnd"}, {"asOf", cycleEnd.asOf}};
}

} // namespace

std::string encodeRecord(const LogRecord &record)
{
    const Json json = std::visit(
        [](const auto &typed) {
            return toJson(typed);
        },
        record);
    // Invalid UTF-8 is replaced: all readers would refuse a contract with such bytes anyway.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LogRecord> decodeRecord(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto kind = readText(json, "kind");
    if (kind == "publish") {
        return readPublish(json);
    }
    if (kind == "snapshot") {
        return readSnapshot(json);
    }
    const auto asOf = readNumber(json, "asOf");
    if (kind == "cycleEnd" && asOf) {
        return CycleEnd{*asOf};
    }
    return std::nullopt;
}

} // namespace jackdawdoor::configuration
