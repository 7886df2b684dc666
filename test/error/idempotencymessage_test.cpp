/** Guards against malformed and forged keys and messages: no exception, no second text for one key, no forged ticket. */
#include "idempotency/idempotencymessage.h"
#include "idempotency/ticketissuer.h"

#include "base/stablehash.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace jackdawdoor;
using namespace jackdawdoor::idempotency;

namespace {

std::string authenticate(std::string_view bytes)
{
    return std::to_string(stableHash(bytes, 42));
}

IdempotencyKey anyKey()
{
    const auto id = [] {
        return InstanceId{*rc::gen::nonEmpty(rc::gen::resize(40, rc::gen::arbitrary<std::string>()))};
    };
    TicketIssuer issuer(InstanceRef{id(), *rc::gen::inRange<std::uint64_t>(1, maximumIssueTime / 2)}, TimePoint{}, authenticate);
    const InstanceRef home{id(), *rc::gen::arbitrary<std::uint64_t>()};
    const InstanceRef witness{id(), *rc::gen::arbitrary<std::uint64_t>()};
    const Duration lifetime{*rc::gen::inRange<Duration::rep>(1, maximumTicketLifetime.count() + 1)};
    const Ticket ticket = issuer.issue(TimePoint{}, home, witness, ServiceId{"customer/service"}, lifetime);
    return {ticket, "nonce-" + std::to_string(*rc::gen::arbitrary<std::uint32_t>())};
}

KeyOutcome anyOutcome()
{
    const auto kind = static_cast<OutcomeKind>(*rc::gen::inRange(0, 5));
    const auto status = static_cast<int>(*rc::gen::arbitrary<std::uint16_t>());
    const StoredAnswer answer{status, "text/plain", *rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<bool>()};
    return {kind, *rc::gen::arbitrary<std::uint64_t>(), answer};
}

IdempotencyMessage anyMessage()
{
    const IdempotencyKey key = anyKey();
    const auto number = *rc::gen::arbitrary<std::uint32_t>();
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
        return Record{key, number};
    case 1:
        return Recorded{key};
    case 2:
        return Refused{key};
    case 3:
        return Close{key};
    case 4:
        return Closed{key};
    case 5:
        return OutcomeUpdate{key, anyOutcome()};
    case 6:
        return Updated{key};
    case 7:
        return Query{key};
    case 8:
        return Reply{key, anyOutcome()};
    case 9:
        return HandoverChunk{key.ticket.home, number, {{key, anyOutcome()}, {key, anyOutcome()}}};
    case 10:
        return HandoverComplete{key.ticket.home, number};
    case 11:
        return HandoverConfirmed{key.ticket.home, number};
    default:
        return SuspectReport{number, 7, number, {UpstreamId{"a"}, UpstreamId{"b"}}};
    }
}

} // namespace

TEST_CASE("messages survive CBOR and damaged ones are errors")
{
    CHECK_MESSAGE(rc::check("round trip",
                            [] {
                                const IdempotencyMessage message = anyMessage();
                                const auto bytes = nlohmann::json::to_cbor(encodeMessage(message));
                                const auto decoded = decodeMessage(nlohmann::json::from_cbor(bytes));
                                RC_ASSERT(decoded.has_value());
                                RC_ASSERT(decoded.value() == message);
                            }),
                  "a message changed in a round trip");
    CHECK_MESSAGE(rc::check("damaged bytes",
                            [] {
                                auto bytes = nlohmann::json::to_cbor(encodeMessage(anyMessage()));
                                for (int change = *rc::gen::inRange(1, 4); change > 0; --change) {
                                    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
                                }
                                const auto json = nlohmann::json::from_cbor(bytes, true, false);
                                const auto decoded = decodeMessage(json);
                                // A damaged message may decode to another valid one, which must then survive a round trip.
                                if (decoded) {
                                    RC_ASSERT(decodeMessage(encodeMessage(decoded.value())).value() == decoded.value());
                                }
                            }),
                  "a damaged message is accepted or throws");
}

TEST_CASE("fields of a wrong type, number or size are errors")
{
    const std::string big(maximumStoredBodyBytes + 1, 'x');
    const auto body = nlohmann::json::binary(std::vector<std::uint8_t>(big.begin(), big.end()));
    const auto empty = nlohmann::json::binary({});
    const nlohmann::json instance = {"instance", 1, 0};
    const std::vector<nlohmann::json> malformed = {
        nullptr,
        {},
        {0},
        {-1, {"key"}},
        {1.5, {"key"}},
        {99, nlohmann::json::array()},
        {1, nlohmann::json::array({"no key"})},
        {1, nlohmann::json::array({7})},
        {0, {{"a", 1}}},
        {10, {"instance", 1, 0, big}},
        {11, {"instance", -1, 0}},
        {11, {"instance", 1, 4294967296}},
        {11, {std::string(maximumTicketIdBytes + 1, 'i'), 1, 0}},
        {13, {1, 1, 1, {"a", "b", "c"}}},
        {13, {1, 1, 1, {1}}},
    };
    for (const nlohmann::json &json : malformed) {
        CHECK_MESSAGE(!decodeMessage(json), "accepted ", json.dump());
    }
    KeyOutcome outcome;
    CHECK_THROWS_AS(from_json({9, 0, 200, "text", empty, true}, outcome), nlohmann::json::exception);
    CHECK_THROWS_AS(from_json({0, 0, 200, "text", body, true}, outcome), nlohmann::json::exception);
    CHECK_THROWS_AS(from_json({0, 0, 70000, "text", empty, true}, outcome), nlohmann::json::exception);
    CHECK_NOTHROW(from_json({0, 0, 200, "text", empty, true}, outcome));
}

TEST_CASE("a key has one text and a changed ticket is refused")
{
    CHECK_MESSAGE(rc::check("changed key",
                            [] {
                                const std::string text = anyKey().encode();
                                RC_ASSERT(IdempotencyKey::decodeFromCaller(text, authenticate).value().encode() == text);
                                std::string changed = text;
                                const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
                                const int edit = *rc::gen::inRange(0, 3);
                                if (edit == 0) {
                                    changed.erase(position, 1);
                                } else {
                                    changed.replace(position, edit == 1 ? 1 : 0, 1, *rc::gen::arbitrary<char>());
                                }
                                const auto structure = IdempotencyKey::decode(changed);
                                if (structure) {
                                    RC_ASSERT(structure.value().encode() == changed);
                                }
                                const bool ticketChanged = changed.substr(0, changed.find('.')) != text.substr(0, text.find('.'));
                                if (ticketChanged) {
                                    RC_ASSERT(!IdempotencyKey::decodeFromCaller(changed, authenticate).has_value());
                                }
                            }),
                  "a second text or a forged ticket is accepted");
    const std::string text = [] {
        TicketIssuer issuer(InstanceRef{InstanceId{"i"}, 1}, TimePoint{}, authenticate);
        const InstanceRef home{InstanceId{"h"}, 1};
        return issuer.issue(TimePoint{}, home, home, ServiceId{"c/s"}, std::chrono::hours{1000}).encode();
    }();
    CHECK_MESSAGE(IdempotencyKey::decode(text + "." + std::string(maximumNonceBytes, 'n')), "the longest nonce is refused");
    CHECK_MESSAGE(!IdempotencyKey::decode(text + "." + std::string(maximumNonceBytes + 1, 'n')), "an overlong nonce is accepted");
    CHECK_MESSAGE(!IdempotencyKey::decode(text + "."), "an empty nonce is accepted");
    CHECK_MESSAGE(!IdempotencyKey::decode(text + ".a b"), "a nonce with a space is accepted");
    CHECK_MESSAGE(!IdempotencyKey::decode(std::string(1 << 20, 'A') + ".a"), "a huge ticket is accepted");
}
