#include "idempotency/idempotencymessage.h"

#include <type_traits>
#include <utility>

namespace jackdawdoor::idempotency {

namespace {

using Json = nlohmann::json;

/** Longest text field other than a body, in bytes. */
constexpr std::size_t maximumTextBytes = 256;
constexpr int malformedId = 501; // nlohmann::json::other_error

[[noreturn]] void malformed(const Json &json, const std::string &reason)
{
    throw Json::other_error::create(malformedId, reason, &json);
}

void expectArray(const Json &json, std::size_t size)
{
    if (!json.is_array() || json.size() != size) {
        malformed(json, "expected an array of " + std::to_string(size) + " fields");
    }
}

/** Reads a non-negative number that fits; json.get() would silently convert negative and fractional numbers. */
template <typename Number>
Number readNumber(const Json &json)
{
    const bool natural = json.is_number_unsigned() || (json.is_number_integer() && json.get<std::int64_t>() >= 0);
    if (!natural || !std::in_range<Number>(json.get<std::uint64_t>())) {
        malformed(json, "expected a non-negative number in range");
    }
    return json.get<Number>();
}

bool readBool(const Json &json)
{
    if (!json.is_boolean()) {
        malformed(json, "expected true or false");
    }
    return json.get<bool>();
}

std::string readText(const Json &json, std::size_t maximum)
{
    if (!json.is_string() || json.get_ref<const std::string &>().size() > maximum) {
        malformed(json, "expected a text of limited length");
    }
    return json.get<std::string>();
}

IdempotencyKey readKey(const Json &json)
{
    if (!json.is_string()) {
        malformed(json, "expected a key");
    }
    Result<IdempotencyKey> key = IdempotencyKey::decode(json.get_ref<const std::string &>());
    if (!key) {
        malformed(json, key.error().reason);
    }
    return std::move(key).value();
}

InstanceRef readInstance(const Json &id, const Json &incarnation)
{
    return InstanceRef{InstanceId{readText(id, maximumTicketIdBytes)}, readNumber<Incarnation>(incarnation)};
}

/** Bodies are binary; messages are sent as CBOR, which has a type for that. */
Json bodyToJson(const std::string &body)
{
    return Json::binary(std::vector<std::uint8_t>(body.begin(), body.end()));
}

std::string readBody(const Json &json)
{
    if (!json.is_binary() || json.get_binary().size() > maximumStoredBodyBytes) {
        malformed(json, "expected a body of limited length");
    }
    const auto &bytes = json.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

template <typename Message>
void readKeyAndOutcome(const Json &json, Message &message)
{
    expectArray(json, 2);
    message.key = readKey(json[0]);
    message.outcome = json[1].get<KeyOutcome>();
}

template <std::size_t index = 0>
IdempotencyMessage readAlternative(std::size_t kind, const Json &json)
{
    if constexpr (index < std::variant_size_v<IdempotencyMessage>) {
        if (kind == index) {
            return json.get<std::variant_alternative_t<index, IdempotencyMessage>>();
        }
        return readAlternative<index + 1>(kind, json);
    } else {
        malformed(json, "unknown kind of message");
    }
}

} // namespace

Json detail::keyToJson(const IdempotencyKey &key)
{
    return Json::array({key.encode()});
}

IdempotencyKey detail::keyFromJson(const Json &json)
{
    expectArray(json, 1);
    return readKey(json[0]);
}

void to_json(Json &json, const KeyOutcome &outcome)
{
    const StoredAnswer &answer = outcome.answer;
    json = Json::array({static_cast<unsigned>(outcome.kind),
                        outcome.fingerprint,
                        static_cast<unsigned>(answer.status),
                        answer.contentType,
                        bodyToJson(answer.body),
                        answer.bodyComplete});
}

void from_json(const Json &json, KeyOutcome &outcome)
{
    expectArray(json, 6);
    const auto kind = readNumber<std::uint8_t>(json[0]);
    if (kind > static_cast<std::uint8_t>(OutcomeKind::NotResponsible)) {
        malformed(json, "unknown kind of outcome");
    }
    outcome.kind = static_cast<OutcomeKind>(kind);
    outcome.fingerprint = readNumber<std::uint64_t>(json[1]);
    outcome.answer.status = readNumber<std::uint16_t>(json[2]);
    outcome.answer.contentType = readText(json[3], maximumTextBytes);
    outcome.answer.body = readBody(json[4]);
    outcome.answer.bodyComplete = readBool(json[5]);
}

void to_json(Json &json, const Record &message)
{
    json = Json::array({message.key.encode(), message.fingerprint});
}

void from_json(const Json &json, Record &message)
{
    expectArray(json, 2);
    message.key = readKey(json[0]);
    message.fingerprint = readNumber<std::uint64_t>(json[1]);
}

void to_json(Json &json, const OutcomeUpdate &message)
{
    json = Json::array({message.key.encode(), message.outcome});
}

void from_json(const Json &json, OutcomeUpdate &message)
{
    readKeyAndOutcome(json, message);
}

void to_json(Json &json, const Reply &message)
{
    json = Json::array({message.key.encode(), message.outcome});
}

void from_json(const Json &json, Reply &message)
{
    readKeyAndOutcome(json, message);
}

void to_json(Json &json, const HandoverEntry &entry)
{
    json = Json::array({entry.key.encode(), entry.outcome});
}

void from_json(const Json &json, HandoverEntry &entry)
{
    readKeyAndOutcome(json, entry);
}

void to_json(Json &json, const HandoverChunk &message)
{
    json = Json::array({message.home.id.value, message.home.incarnation, message.index, message.entries});
}

void from_json(const Json &json, HandoverChunk &message)
{
    expectArray(json, 4);
    message.home = readInstance(json[0], json[1]);
    message.index = readNumber<std::uint32_t>(json[2]);
    if (!json[3].is_array() || json[3].size() > maximumChunkEntries) {
        malformed(json, "expected a limited number of entries");
    }
    message.entries = json[3].get<std::vector<HandoverEntry>>();
}

void to_json(Json &json, const HandoverComplete &message)
{
    json = Json::array({message.home.id.value, message.home.incarnation, message.chunks});
}

void from_json(const Json &json, HandoverComplete &message)
{
    expectArray(json, 3);
    message.home = readInstance(json[0], json[1]);
    message.chunks = readNumber<std::uint32_t>(json[2]);
}

void to_json(Json &json, const HandoverConfirmed &message)
{
    json = Json::array({message.home.id.value, message.home.incarnation, message.index});
}

void from_json(const Json &json, HandoverConfirmed &message)
{
    expectArray(json, 3);
    message.home = readInstance(json[0], json[1]);
    message.index = readNumber<std::uint32_t>(json[2]);
}

void to_json(Json &json, const SuspectReport &message)
{
    Json upstreams = Json::array();
    for (const UpstreamId &upstream : message.upstreams) {
        upstreams.push_back(upstream.value);
    }
    json = Json::array({message.fingerprint, message.organisationHash, message.clearances, std::move(upstreams)});
}

void from_json(const Json &json, SuspectReport &message)
{
    expectArray(json, 4);
    message.fingerprint = readNumber<std::uint64_t>(json[0]);
    message.organisationHash = readNumber<std::uint64_t>(json[1]);
    message.clearances = readNumber<std::uint32_t>(json[2]);
    if (!json[3].is_array() || json[3].size() > 2) {
        malformed(json, "expected at most two upstreams");
    }
    message.upstreams.clear();
    for (const Json &upstream : json[3]) {
        message.upstreams.push_back(UpstreamId{readText(upstream, maximumTextBytes)});
    }
}

Json encodeMessage(const IdempotencyMessage &message)
{
    const auto toJson = [](const auto &alternative) {
        return Json(alternative);
    };
    return Json::array({message.index(), std::visit(toJson, message)});
}

Result<IdempotencyMessage> decodeMessage(const Json &json)
{
    try {
        expectArray(json, 2);
        return readAlternative(readNumber<std::size_t>(json[0]), json[1]);
    } catch (const Json::exception &error) {
        return Error{"decode idempotency message", "peer", error.what()};
    }
}

} // namespace jackdawdoor::idempotency
