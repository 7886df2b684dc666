#include "membership/membershipmessage.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::membership {

using Json = nlohmann::json;

namespace {

MemberState readState(const Json &json)
{
    const auto number = json.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(MemberState::Failed)) {
        throw Json::other_error::create(501, "unknown member state", &json);
    }
    return static_cast<MemberState>(number);
}

/** Checks the length before the elements are copied. */
std::vector<MemberUpdate> readUpdates(const Json &json)
{
    if (!json.is_array() || json.size() > synchronisationPage + maximumGossipUpdates + 1) {
        throw Json::other_error::create(501, "membership updates are not an array, or there are too many", &json);
    }
    return json.get<std::vector<MemberUpdate>>();
}

} // namespace

void to_json(Json &json, const MemberUpdate &update)
{
    json = Json::array({update.ref.id.value,
                        update.ref.incarnation,
                        update.refutation,
                        static_cast<std::uint8_t>(update.state),
                        update.address,
                        update.dataCentre.value,
                        update.callerAddress});
}

void from_json(const Json &json, MemberUpdate &update)
{
    update.ref.id.value = json.at(0).get<std::string>();
    update.ref.incarnation = json.at(1).get<Incarnation>();
    update.refutation = json.at(2).get<std::uint32_t>();
    update.state = readState(json.at(3));
    update.address = json.at(4).get<std::string>();
    update.dataCentre.value = json.at(5).get<std::string>();
    update.callerAddress = json.at(6).get<std::string>();
}

void to_json(Json &json, const Ping &ping)
{
    json = Json::array({ping.sequence, ping.synchronise, ping.after.value, ping.updates});
}

void from_json(const Json &json, Ping &ping)
{
    ping.sequence = json.at(0).get<std::uint64_t>();
    ping.synchronise = json.at(1).get<bool>();
    ping.after.value = json.at(2).get<std::string>();
    ping.updates = readUpdates(json.at(3));
}

void to_json(Json &json, const PingRequest &request)
{
    json = Json::array({request.sequence, request.target.id.value, request.target.incarnation, request.updates});
}

void from_json(const Json &json, PingRequest &request)
{
    request.sequence = json.at(0).get<std::uint64_t>();
    request.target.id.value = json.at(1).get<std::string>();
    request.target.incarnation = json.at(2).get<Incarnation>();
    request.updates = readUpdates(json.at(3));
}

void to_json(Json &json, const Ack &ack)
{
    json = Json::array({ack.sequence, ack.answered.id.value, ack.answered.incarnation, ack.morePages, ack.updates});
}

void from_json(const Json &json, Ack &ack)
{
    ack.sequence = json.at(0).get<std::uint64_t>();
    ack.answered.id.value = json.at(1).get<std::string>();
    ack.answered.incarnation = json.at(2).get<Incarnation>();
    ack.morePages = json.at(3).get<bool>();
    ack.updates = readUpdates(json.at(4));
}

} // namespace jackdawdoor::membership
