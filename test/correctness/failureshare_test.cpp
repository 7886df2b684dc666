/** Tests of the share of failed requests, which decides how many upstreams of a service are kept in use. */
#include "fleet/failureshare.h"
#include "fleet/fleetmessage.h"
#include "fleet/upstreamchoice.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds{1000}};

} // namespace

// Guards against a share that counts only this instance's requests, of which a large fleet has few each.
TEST_CASE("failures at other instances elevate a service's share of failures, and old ones count no more")
{
    FailureShare share;
    share.addRequests(start, 5);
    share.addRequests(start, 95);
    share.addOtherFailures(start, 9);
    CHECK_FALSE(share.update(start));
    share.addOwnFailure(start);
    CHECK(share.share(start) == doctest::Approx(0.1));
    CHECK(share.update(start));
    CHECK(share.elevated());
    CHECK(share.takeUnreportedFailures() == 1);
    CHECK(share.takeUnreportedFailures() == 0);
    CHECK(share.update(start + seconds{2}));
    CHECK_FALSE(share.elevated());
}

// Guards against a few failures of a rarely used service that send requests to upstreams in a gray failure.
TEST_CASE("a few failures do not elevate the share")
{
    FailureShare share;
    share.addRequests(start, 12);
    share.addOwnFailure(start);
    share.addOtherFailures(start, 3);
    CHECK_FALSE(share.update(start));
}

// Guards against instances of two versions that do not understand each other's load reports.
TEST_CASE("a load report carries failures only if there are any")
{
    LoadReport report;
    report.demand = {{7, 12}};
    report.serving = true;
    const InstanceRef from{InstanceId{"i1"}, 1};
    const std::string withoutFailures = encodeDatagram({from, report});
    CHECK(std::get<LoadReport>(decodeDatagram(withoutFailures)->message) == report);
    report.failures = {{7, 3}, {9, 1}};
    const std::string withFailures = encodeDatagram({from, report});
    CHECK(std::get<LoadReport>(decodeDatagram(withFailures)->message) == report);
    // The payload is the fourth element of a datagram.
    CHECK(nlohmann::json::from_cbor(withoutFailures).at(3).size() == 3);
    CHECK(nlohmann::json::from_cbor(withFailures).at(3).size() == 4);
}

// Guards against a floor that leaves out likely gray upstreams while the others that it covers do not count, as after a partition.
TEST_CASE("with a floor of all upstreams each of them gets a request every two seconds, however many fail")
{
    constexpr int upstreams = 30;
    constexpr int failing = 12;
    constexpr int requestsPerSecond = 200;
    std::vector<UpstreamEntry> entries;
    for (int number = 0; number < upstreams; ++number) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u" + std::to_string(100 + number)};
        entry.service = ServiceId{"svc"};
        entry.incarnation = 1;
        entry.slots = 6;
        entries.push_back(entry);
    }
    UpstreamTable table;
    table.setEntries(start, entries);
    RandomSource random(5);
    ChoiceRequest request;
    request.service = ServiceId{"svc"};
    request.floorShare = 1;
    request.requestsPerSecond = requestsPerSecond;
    std::set<std::string> used;
    constexpr int settled = requestsPerSecond * 4;
    for (int count = 0; count < settled + requestsPerSecond * 2; ++count) {
        const TimePoint now = start + Duration{seconds{1}} * count / requestsPerSecond;
        const UpstreamChoice choice = chooseUpstream(now, table, request, random);
        REQUIRE(choice.upstream != nullptr);
        const UpstreamId id = choice.upstream->entry.id;
        const bool fails = id.value < "u" + std::to_string(100 + failing);
        table.beginAttempt(now, *choice.upstream);
        table.endAttempt(now, id, 1, fails ? AttemptOutcome::Failed : AttemptOutcome::Answered, milliseconds{100});
        if (count >= settled) {
            used.insert(id.value);
        }
    }
    CHECK_MESSAGE(used.size() == upstreams, "only " << used.size() << " upstreams got requests");
}
