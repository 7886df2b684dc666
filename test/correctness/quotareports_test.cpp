/** Reports on the quotas of organisations: what is charged, what is sent, and what malformed and forged reports do. */
#include "fleet/fleetmessage.h"
#include "limits/organisationquota.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace jackdawdoor;
using namespace jackdawdoor::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t organisation = 1;
const TimePoint start{std::chrono::hours{1}};
const InstanceRef peer{InstanceId{"peer"}, 1};

OrganisationQuota makeQuota()
{
    return {start, 1, [](std::uint64_t key) {
                return key == organisation ? QuotaLimit{10, 10} : QuotaLimit{};
            }};
}

/** A report of a process that is 60 s old. The counters began at the same time as the process, unless started is given. */
QuotaReport reportWith(std::int64_t sequence, QuotaItem item)
{
    return {sequence, 60000, true, {item}};
}

double balanceOf(OrganisationQuota &quota, TimePoint now)
{
    const QuotaDecision decision = quota.admit(now, organisation, {10, 10});
    return decision.balance + (decision.admitted ? 1 : 0);
}

} // namespace

TEST_CASE("Admissions of other instances are charged once, and first values are a baseline")
{
    OrganisationQuota quota = makeQuota();
    const TimePoint now = start + seconds{30};
    CHECK(quota.receive(now, peer, reportWith(1, {organisation, 0, 1000, 0, 1000, 15})) == 0);
    CHECK(balanceOf(quota, now) == doctest::Approx(15));
    const QuotaReport next = reportWith(2, {organisation, 0, 1006, 1, 1006, 14});
    CHECK(quota.receive(now, peer, next) == 0);
    CHECK(quota.receive(now, peer, next) == 0);
    CHECK(quota.receive(now, peer, reportWith(1, {organisation, 0, 1000, 0, 1000, 15})) == 0);
    CHECK(balanceOf(quota, now) == doctest::Approx(9).epsilon(0.01));
    // Counters that have just begun are charged from zero.
    CHECK(quota.receive(now, {InstanceId{"other"}, 1}, reportWith(1, {organisation, 59900, 4, 0, 4, 4})) == 0);
    CHECK(balanceOf(quota, now) == doctest::Approx(4).epsilon(0.01));
}

TEST_CASE("Malformed and forged reports change nothing")
{
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    const QuotaItem forged[] = {
        {organisation, 0, 999, 0, 1000, 15}, // a counter that falls
        {organisation, 0, 1000, 0, 999, 15},
        {organisation, 0, 900000, 0, 900000, 15}, // more than an instance can admit
        {organisation, 0, -5, 0, 1000, 15},
        {organisation, 0, 1001, -1, 1001, 15},
        {organisation, 0, 1001, 2000, 1001, 15},
        {organisation, -1, 1001, 0, 1001, 15},
        {organisation, 70000, 1001, 0, 1001, 15}, // begins later than the report was made
        {organisation, 0, 1001, 0, 1001, notANumber},
        {organisation, 0, 1001, 0, 1001, std::numeric_limits<double>::infinity()},
        {organisation, 0, std::numeric_limits<std::int64_t>::max(), 0, std::numeric_limits<std::int64_t>::max(), 15},
        {organisation + 1, 0, 1000, 0, 1000, 15}, // no quota here
    };
    for (const QuotaItem &item : forged) {
        OrganisationQuota quota = makeQuota();
        const TimePoint now = start + seconds{30};
        CHECK(quota.receive(now, peer, reportWith(1, {organisation, 0, 1000, 0, 1000, 15})) == 0);
        CHECK(quota.receive(now, peer, reportWith(2, item)) == 1);
        CHECK(quota.buckets() == 1);
        CHECK(balanceOf(quota, now) == doctest::Approx(15));
        CHECK(quota.receive(now, peer, reportWith(3, {organisation, 0, 1002, 0, 1002, 12})) == 0);
        CHECK(balanceOf(quota, now) == doctest::Approx(12).epsilon(0.01));
    }
}

TEST_CASE("A request that never ran gives its token back, also at the other instances")
{
    OrganisationQuota own = makeQuota();
    OrganisationQuota other = makeQuota();
    const TimePoint now = start + seconds{30};
    for (int count = 0; count < 5; ++count) {
        CHECK(own.admit(now, organisation, {10, 10}).admitted);
    }
    const auto before = own.recentReport(now);
    CHECK(other.receive(now, peer, before.front()) == 0);
    own.giveBack(now, organisation);
    own.giveBack(now, organisation);
    CHECK(other.receive(now, peer, own.recentReport(now).front()) == 0);
    CHECK(balanceOf(own, now) == doctest::Approx(12));
    CHECK(balanceOf(other, now) == doctest::Approx(12).epsilon(0.01));
}

TEST_CASE("A lower burst caps the balance at once")
{
    OrganisationQuota quota = makeQuota();
    const TimePoint now = start + seconds{30};
    CHECK(quota.admit(now, organisation, {10, 100}).balance > 90);
    CHECK(quota.admit(now, organisation, {10, 0}).balance < 10);
}

TEST_CASE("Without requests of organisations with a quota nothing is sent, and idle organisations are forgotten")
{
    OrganisationQuota quota = makeQuota();
    TimePoint now = start + seconds{1};
    CHECK(quota.admit(now, organisation + 1, {}).admitted);
    CHECK(quota.takeReport(now, 10).empty());
    CHECK(quota.buckets() == 0);
    CHECK(quota.admit(now, organisation, {10, 10}).admitted);
    CHECK(quota.takeReport(now, 10).size() == 1);
    now += seconds{61};
    quota.expire(now);
    CHECK(quota.buckets() == 0);
    CHECK(!quota.active(now));
    CHECK(quota.takeReport(now, 10).empty());
}

TEST_CASE("Only silence of instances that have not left lowers the share, and not after one lost report")
{
    OrganisationQuota quota = makeQuota();
    TimePoint now = start;
    for (const char *name : {"a", "b", "c"}) {
        quota.receive(now, {InstanceId{name}, 1}, {1, 1000, true, {}});
    }
    now += milliseconds{300};
    CHECK(quota.visibleShare(now) == 1.0);
    quota.receive(now, {InstanceId{"a"}, 1}, {2, 1300, false, {}});
    quota.receive(now, {InstanceId{"b"}, 1}, {2, 1300, true, {}});
    now += milliseconds{300};
    CHECK(quota.visibleShare(now) == doctest::Approx(2.0 / 3));
    quota.forget(InstanceId{"c"});
    now += milliseconds{20};
    CHECK(quota.visibleShare(now) == 1.0);
}

TEST_CASE("Retry-After grows with the debt and the callers that wait")
{
    OrganisationQuota quota = makeQuota();
    const TimePoint now = start + seconds{30};
    quota.receive(now, peer, reportWith(1, {organisation, 0, 1000, 0, 1000, 15}));
    quota.receive(now, peer, reportWith(2, {organisation, 0, 1020, 0, 1020, -5}));
    const QuotaDecision refused = quota.admit(now, organisation, {10, 10});
    CHECK(!refused.admitted);
    CHECK(refused.retryAfter >= milliseconds{500});
    CHECK(refused.retryAfter <= seconds{30});
    quota.receive(now, peer, reportWith(3, {organisation, 0, 1050, 0, 1400, -20}));
    CHECK(quota.admit(now, organisation, {10, 10}).retryAfter > refused.retryAfter);
}

TEST_CASE("Quota reports of a full datagram survive the codec, and malformed ones are rejected or invalid")
{
    // Guards against datagrams above the path's size, and against numbers whose conversion is undefined.
    fleet::QuotaReport report{1, 100000, true, {}};
    for (std::uint64_t key = 0; key < 2 * maximumQuotaItems; ++key) {
        report.items.push_back({~key, 90000, 100000, 1000, 200000, 12.5});
    }
    const auto decode = [](const nlohmann::json &payload) {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({8, "i", 7, payload}), bytes);
        return fleet::decodeDatagram(bytes);
    };
    const std::string bytes = fleet::encodeDatagram({{InstanceId{"i"}, 7}, report});
    const auto decoded = fleet::decodeDatagram(bytes);
    REQUIRE(decoded.has_value());
    CHECK(std::get<fleet::QuotaReport>(decoded->message).items.size() == maximumQuotaItems);
    CHECK(bytes.size() / 2 < 1300);
    CHECK(!decode(nlohmann::json::array({1, 2, true})).has_value());
    CHECK(!decode(nlohmann::json::array({1, 2, 3, nlohmann::json::array()})).has_value());
    CHECK(!decode(nlohmann::json::array({1, 2, true, {1, 2, 3, 4, 5, "x"}})).has_value());
    const auto huge = decode(nlohmann::json::array({1, 90000, true, {organisation, 1e300, 1e300, -1e300, 1e300, 1}}));
    REQUIRE(huge.has_value());
    OrganisationQuota quota = makeQuota();
    CHECK(quota.receive(start, peer, std::get<fleet::QuotaReport>(huge->message)) == 1);
    CHECK(quota.buckets() == 0);
}

TEST_CASE("Counters of many organisations are split into several reports")
{
    OrganisationQuota quota{start, 1, [](std::uint64_t) {
                                return QuotaLimit{10, 10};
                            }};
    const TimePoint now = start + seconds{30};
    for (std::uint64_t key = 0; key < maximumQuotaItems + 1; ++key) {
        quota.admit(now, key, {10, 10});
    }
    const auto parts = quota.takeReport(now, 10);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].items.size() == maximumQuotaItems);
    CHECK(parts[1].items.size() == 1);
    CHECK(parts[1].sequence > parts[0].sequence);
}
