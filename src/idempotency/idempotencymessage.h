/** Messages of the idempotency module between instances.
 *
 * Handlers tolerate loss, duplication and reordering. Keys are sent in their text form. from_json() throws only
 * nlohmann::json::exception; decodeMessage() turns that into an Error.
 */
#pragma once

#include "base/error.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/keyoutcome.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jackdawdoor::idempotency {

/** Largest body of a stored answer in a message; a message with a larger one is malformed. */
constexpr std::size_t maximumStoredBodyBytes = std::size_t{64} * 1024;
/** Most keys in one handover chunk. */
constexpr std::size_t maximumChunkEntries = 256;

/** Home to witness: record that this key may run. */
struct Record {
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;

    bool operator==(const Record &) const = default;
};

/** Witness to home: the key is recorded; the witness will never answer "not run" for it. */
struct Recorded {
    IdempotencyKey key;

    bool operator==(const Recorded &) const = default;
};

/** Witness to home: the key is not recorded and must not be dispatched. */
struct Refused {
    IdempotencyKey key;

    bool operator==(const Refused &) const = default;
};

/** Any instance to witness: close the key if it is not recorded. Answered by Closed or Reply. */
struct Close {
    IdempotencyKey key;

    bool operator==(const Close &) const = default;
};

/** Witness to the sender of Close: the key did not run and never will. */
struct Closed {
    IdempotencyKey key;

    bool operator==(const Closed &) const = default;
};

/** Home to witness: a final outcome. Acknowledged by Updated. */
struct OutcomeUpdate {
    IdempotencyKey key;
    KeyOutcome outcome;

    bool operator==(const OutcomeUpdate &) const = default;
};

/** Witness to home: acknowledges an outcome update.
 *
 * Not a Reply, since it carries no answer: a later incarnation of the home that queries the key itself could mistake it
 * for the outcome.
 */
struct Updated {
    IdempotencyKey key;

    bool operator==(const Updated &) const = default;
};

/** Any instance to home: asks for the outcome of the key. The home closes a key that it does not have. Answered by Reply. */
struct Query {
    IdempotencyKey key;

    bool operator==(const Query &) const = default;
};

/** Home or witness to the sender of Query or Close: the outcome as known there. */
struct Reply {
    IdempotencyKey key;
    KeyOutcome outcome;

    bool operator==(const Reply &) const = default;
};

/** One key in a handover. */
struct HandoverEntry {
    IdempotencyKey key;
    KeyOutcome outcome;

    bool operator==(const HandoverEntry &) const = default;
};

/** Stopping home to witness: a chunk of the key table. */
struct HandoverChunk {
    InstanceRef home;
    std::uint32_t index = 0;
    std::vector<HandoverEntry> entries;

    bool operator==(const HandoverChunk &) const = default;
};

/** Stopping home to witness, once all chunks are confirmed: from now on the witness answers for the home. */
struct HandoverComplete {
    InstanceRef home;
    std::uint32_t chunks = 0;

    bool operator==(const HandoverComplete &) const = default;
};

/** Witness to stopping home: the chunk is stored. An index equal to the number of chunks confirms completion. */
struct HandoverConfirmed {
    InstanceRef home;
    std::uint32_t index = 0;

    bool operator==(const HandoverConfirmed &) const = default;
};

/** To the other holders of a service: a fingerprint that was in flight when upstreams crashed. See CrashSuspects. */
struct SuspectReport {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisationHash = 0; ///< stable hash of the organisation that sent the request
    std::uint32_t clearances = 0; ///< number of times that a complete answer cleared it
    std::vector<UpstreamId> upstreams; ///< that crashed since the last clearance; at most two

    bool operator==(const SuspectReport &) const = default;
};

using IdempotencyMessage = std::variant<Record,
                                        Recorded,
                                        Refused,
                                        Close,
                                        Closed,
                                        OutcomeUpdate,
                                        Updated,
                                        Query,
                                        Reply,
                                        HandoverChunk,
                                        HandoverComplete,
                                        HandoverConfirmed,
                                        SuspectReport>;

namespace detail {
nlohmann::json keyToJson(const IdempotencyKey &key);
IdempotencyKey keyFromJson(const nlohmann::json &json);
} // namespace detail

/** Messages that consist of a key. */
template <typename Message>
concept KeyMessage = std::same_as<Message, Recorded> || std::same_as<Message, Refused> || std::same_as<Message, Close> || std::
    same_as<Message, Closed> || std::same_as<Message, Query> || std::same_as<Message, Updated>;

template <KeyMessage Message>
void to_json(nlohmann::json &json, const Message &message)
{
    json = detail::keyToJson(message.key);
}

template <KeyMessage Message>
void from_json(const nlohmann::json &json, Message &message)
{
    message.key = detail::keyFromJson(json);
}

void to_json(nlohmann::json &json, const KeyOutcome &outcome);
void from_json(const nlohmann::json &json, KeyOutcome &outcome);
void to_json(nlohmann::json &json, const Record &message);
void from_json(const nlohmann::json &json, Record &message);
void to_json(nlohmann::json &json, const OutcomeUpdate &message);
void from_json(const nlohmann::json &json, OutcomeUpdate &message);
void to_json(nlohmann::json &json, const Reply &message);
void from_json(const nlohmann::json &json, Reply &message);
void to_json(nlohmann::json &json, const HandoverEntry &entry);
void from_json(const nlohmann::json &json, HandoverEntry &entry);
void to_json(nlohmann::json &json, const HandoverChunk &message);
void from_json(const nlohmann::json &json, HandoverChunk &message);
void to_json(nlohmann::json &json, const HandoverComplete &message);
void from_json(const nlohmann::json &json, HandoverComplete &message);
void to_json(nlohmann::json &json, const HandoverConfirmed &message);
void from_json(const nlohmann::json &json, HandoverConfirmed &message);
void to_json(nlohmann::json &json, const SuspectReport &message);
void from_json(const nlohmann::json &json, SuspectReport &message);

/** The message as [kind, message], where kind is its index in IdempotencyMessage. */
nlohmann::json encodeMessage(const IdempotencyMessage &message);

/** Inverse of encodeMessage(). Never throws. */
Result<IdempotencyMessage> decodeMessage(const nlohmann::json &json);

} // namespace jackdawdoor::idempotency
