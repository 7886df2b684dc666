#include "configuration/configurationmessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdawdoor::configuration {

using Json = nlohmann::json;

namespace {

/** Rejects oversized lists before they are copied. */
const Json &checkedList(const Json &json, std::size_t maximum)
{
    if (!json.is_array() || json.size() > maximum) {
        throw Json::other_error::create(501, "expected a list of limited length", &json);
    }
    return json;
}

Json writeOffset(const std::optional<Offset> &offset)
{
    return offset ? Json(*offset) : Json();
}

std::optional<Offset> readOffset(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional{json.get<Offset>()};
}

Json writeAge(Duration age)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(age).count());
}

Duration readAge(const Json &json)
{
    return std::chrono::seconds{json.get<std::uint32_t>()};
}

/** Maximum customers in one request; further ones are requested in later exchanges. */
constexpr std::size_t maximumRequested = maximumSummaries;

} // namespace

void to_json(Json &json, const Digest &digest)
{
    json = Json::array({digest.hash, digest.completeAsOf, writeOffset(digest.cycleEnd), writeAge(digest.cycleEndAge)});
}

void from_json(const Json &json, Digest &digest)
{
    digest.hash = json.at(0).get<std::uint64_t>();
    digest.completeAsOf = json.at(1).get<Offset>();
    digest.cycleEnd = readOffset(json.at(2));
    digest.cycleEndAge = readAge(json.at(3));
}

void to_json(Json &json, const BucketDigest &digest)
{
    json = Json::array({digest.hashes});
}

void from_json(const Json &json, BucketDigest &digest)
{
    digest.hashes = checkedList(json.at(0), digestBuckets).get<std::vector<std::uint64_t>>();
    if (digest.hashes.size() != digestBuckets) {
        throw Json::other_error::create(501, "wrong number of buckets", &json);
    }
}

static void to_json(Json &json, const Summary &summary)
{
    json = Json::array(
        {summary.customer.value, summary.version, summary.asOf, writeOffset(summary.checkpoint), writeAge(summary.checkpointAge)});
}

static void from_json(const Json &json, Summary &summary)
{
    summary.customer.value = json.at(0).get<std::string>();
    summary.version = json.at(1).get<Version>();
    summary.asOf = json.at(2).get<Offset>();
    summary.checkpoint = readOffset(json.at(3));
    summary.checkpointAge = readAge(json.at(4));
}

void to_json(Json &json, const Summaries &summaries)
{
    json = Json::array({summaries.buckets, summaries.summaries});
}

void from_json(const Json &json, Summaries &summaries)
{
    summaries.buckets = checkedList(json.at(0), digestBuckets).get<std::vector<std::uint32_t>>();
    summaries.summaries = checkedList(json.at(1), maximumSummaries).get<std::vector<Summary>>();
}

void to_json(Json &json, const StateRequest &request)
{
    json = Json::array();
    for (const CustomerId &customer : request.customers) {
        json.push_back(customer.value);
    }
}

void from_json(const Json &json, StateRequest &request)
{
    request.customers.clear();
    for (const Json &customer : checkedList(json, maximumRequested)) {
        request.customers.push_back(CustomerId{customer.get<std::string>()});
    }
}

static void to_json(Json &json, const CustomerState &state)
{
    json = Json::array({state.customer.value, state.version, state.asOf, state.body ? Json(*state.body) : Json()});
}

static void from_json(const Json &json, CustomerState &state)
{
    state.customer.value = json.at(0).get<std::string>();
    state.version = json.at(1).get<Version>();
    state.asOf = json.at(2).get<Offset>();
    state.body = json.at(3).is_null() ? std::nullopt : std::optional{json.at(3).get<std::string>()};
}

void to_json(Json &json, const States &states)
{
    json = Json::array({states.states});
}

void from_json(const Json &json, States &states)
{
    states.states = checkedList(json.at(0), maximumSummaries).get<std::vector<CustomerState>>();
}

} // namespace jackdawdoor::configuration
