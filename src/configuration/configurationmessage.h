/** Anti-entropy messages by which instances exchange contract versions.
 *
 * A new version is announced by a Summaries message; a receiver that lacks the body requests it. Each second an
 * instance sends its Digest to one random peer; bucket hashes and summaries follow only when the two differ.
 */
#pragma once

#include "base/time.h"
#include "configuration/customerstate.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jackdawdoor::configuration {

/** Customers are hashed into this many buckets; 512 bytes of bucket hashes identify the buckets that differ. */
constexpr std::size_t digestBuckets = 64;
/** Maximum total size of the states in one message; the receiver requests the rest again. */
constexpr std::size_t maximumMessageBytes = std::size_t{256} * 1024;
/** Maximum number of summaries in one message, of about 40 bytes each. */
constexpr std::size_t maximumSummaries = 256;

/** Digest of the sender's version table. */
struct Digest {
    std::uint64_t hash = 0; ///< over customers, versions and checkpoints
    Offset completeAsOf = 0; ///< the sender has decided all customers' records before this offset; 0 when not known
    std::optional<Offset> cycleEnd; ///< asOf of the latest CycleEnd seen
    Duration cycleEndAge{}; ///< resolution of a second

    bool operator==(const Digest &) const = default;
};

/** Answer to a Digest that differs. */
struct BucketDigest {
    std::vector<std::uint64_t> hashes; ///< digestBuckets of them

    bool operator==(const BucketDigest &) const = default;
};

/** State of one customer without its body. */
struct Summary {
    CustomerId customer;
    Version version = 0;
    Offset asOf = 0;
    std::optional<Offset> checkpoint; ///< see Checkpoint
    Duration checkpointAge{}; ///< resolution of a second

    bool operator==(const Summary &) const = default;
};

/** States that the sender has; the receiver requests those it lacks and returns its own where they are newer. */
struct Summaries {
    std::vector<std::uint32_t> buckets; ///< the summaries are all that the sender has in these buckets
    std::vector<Summary> summaries;

    bool operator==(const Summaries &) const = default;
};

/** Requests the states of these customers with their bodies. */
struct StateRequest {
    std::vector<CustomerId> customers;

    bool operator==(const StateRequest &) const = default;
};

/** States with their bodies, up to maximumMessageBytes. */
struct States {
    std::vector<CustomerState> states;

    bool operator==(const States &) const = default;
};

using ConfigurationMessage = std::variant<Digest, BucketDigest, Summaries, StateRequest, States>;

/** Codec as positional arrays. The from_json functions throw nlohmann::json::exception on malformed input. */
void to_json(nlohmann::json &json, const Digest &digest);
void from_json(const nlohmann::json &json, Digest &digest);
void to_json(nlohmann::json &json, const BucketDigest &digest);
void from_json(const nlohmann::json &json, BucketDigest &digest);
void to_json(nlohmann::json &json, const Summaries &summaries);
void from_json(const nlohmann::json &json, Summaries &summaries);
void to_json(nlohmann::json &json, const StateRequest &request);
void from_json(const nlohmann::json &json, StateRequest &request);
void to_json(nlohmann::json &json, const States &states);
void from_json(const nlohmann::json &json, States &states);

} // namespace jackdawdoor::configuration
