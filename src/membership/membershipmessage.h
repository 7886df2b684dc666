/** Messages of the failure detector.
 *
 * Each message piggybacks membership updates. The first is about the sender itself, so that a receiver which does not
 * know the sender learns its address. The number of updates is bounded, which bounds the size of a message.
 */
#pragma once

#include "membership/member.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jackdawdoor::membership {

/** Updates in a message besides the sender's own. About 60 bytes each: two full messages a second stay below 1 KB/s. */
constexpr std::size_t maximumGossipUpdates = 6;

/** Members in one page of a full synchronisation, which only an instance that starts or was isolated for long requests. */
constexpr std::size_t synchronisationPage = 40;

/** Gossiped state of one member. */
struct MemberUpdate {
    InstanceRef ref;
    std::uint32_t refutation = 0; ///< incremented only by the member itself, to refute a suspicion or failure
    MemberState state = MemberState::Live;
    std::string address; ///< empty for suspect and failed members
    DataCentreId dataCentre; ///< empty for suspect and failed members
    std::string callerAddress = {}; ///< empty for suspect and failed members

    bool operator==(const MemberUpdate &) const = default;
};

/** Asks the receiver to answer with an Ack. */
struct Ping {
    std::uint64_t sequence = 0;
    bool synchronise = false; ///< the answer should list members whose id is greater than `after`
    InstanceId after;
    std::vector<MemberUpdate> updates;

    bool operator==(const Ping &) const = default;
};

/** Asks the receiver to ping the target and to forward its answer (SWIM's ping-req). */
struct PingRequest {
    std::uint64_t sequence = 0;
    InstanceRef target;
    std::vector<MemberUpdate> updates;

    bool operator==(const PingRequest &) const = default;
};

/** Answers a Ping, or a PingRequest once its target answered. */
struct Ack {
    std::uint64_t sequence = 0;
    InstanceRef answered; ///< the member that this answer proves to be running
    bool morePages = false; ///< further pages follow, or the sender is still synchronising itself
    std::vector<MemberUpdate> updates;

    bool operator==(const Ack &) const = default;
};

using MembershipMessage = std::variant<Ping, PingRequest, Ack>;

/** Codec as positional arrays. The from_json functions throw nlohmann::json::exception on malformed input. */
void to_json(nlohmann::json &json, const MemberUpdate &update);
void from_json(const nlohmann::json &json, MemberUpdate &update);
void to_json(nlohmann::json &json, const Ping &ping);
void from_json(const nlohmann::json &json, Ping &ping);
void to_json(nlohmann::json &json, const PingRequest &request);
void from_json(const nlohmann::json &json, PingRequest &request);
void to_json(nlohmann::json &json, const Ack &ack);
void from_json(const nlohmann::json &json, Ack &ack);

} // namespace jackdawdoor::membership
