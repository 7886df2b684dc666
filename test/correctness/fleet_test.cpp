/** Decisions of the proxy fleet on virtual time: choice of upstreams, beliefs, knowledge of the store, retries. */
#include "fleet/crashledger.h"
#include "fleet/fleetmessage.h"
#include "fleet/readerduty.h"
#include "fleet/upstreamcatalogue.h"
#include "fleet/upstreamchoice.h"
#include "routing/retryrule.h"
#include "routing/routetable.h"
#include "routing/trafficsplit.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds{1000}};
const ServiceId service{"svc"};

UpstreamEntry makeEntry(const std::string &id, std::int64_t born = 1, std::int64_t sequence = 1)
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.service = service;
    entry.address = "127.0.0.1:1";
    entry.dataCentre = DataCentreId{"dc"};
    entry.born = born;
    entry.sequence = sequence;
    entry.slots = 6;
    return entry;
}

std::vector<UpstreamEntry> makeEntries(int count)
{
    std::vector<UpstreamEntry> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        entries.push_back(makeEntry("u" + std::to_string(100 + index)));
    }
    return entries;
}

ChoiceRequest ask(routing::Repeatability repeatability)
{
    return {service, repeatability, DataCentreId{"dc"}, {}, 0, 0};
}

} // namespace

TEST_CASE("a gray belief rises with failures, falls with successes, and relaxes to the share of gray time")
{
    const health::GrayModel model;
    health::GrayEpisodeEstimator belief(model);
    belief.addSuccesses(start, 3);
    const double proven = belief.probability(start);
    CHECK(proven < 0.05);
    belief.addFailures(start, 1);
    CHECK_MESSAGE(belief.probability(start) < 0.5, "one failure of a proven upstream is taken for an episode");
    belief.addFailures(start, 1);
    CHECK_MESSAGE(belief.probability(start) > 0.5, "two failures in a row are not taken for an episode");
    CHECK(std::abs(belief.probability(start + seconds{120}) - model.grayTimeShare) < 0.01);
    health::GrayEpisodeEstimator unknown(model);
    unknown.addFailures(start, 1);
    CHECK_MESSAGE(unknown.probability(start) > 0.9, "a failure of an upstream without a record leaves it in doubt");
}

TEST_CASE("an order avoids an upstream that has just failed as long as another one has room")
{
    UpstreamBoard board;
    board.setEntries(start, makeEntries(2));
    RandomSource random(1);
    for (const char *id : {"u100", "u101"}) {
        board.begin(start, *board.find(UpstreamId{id}, 1));
        board.end(
            start, UpstreamId{id}, 1, std::string(id) == "u100" ? AttemptOutcome::Failed : AttemptOutcome::Answered, milliseconds{100});
    }
    for (int count = 0; count < 8; ++count) {
        const UpstreamChoice choice = chooseUpstream(start, board, ask(routing::Repeatability::Once), random);
        REQUIRE(choice.upstream != nullptr);
        CHECK_MESSAGE(choice.upstream->entry.id.value == "u101", "an order was sent to an upstream that had just failed");
        board.begin(start, *choice.upstream);
    }
}

TEST_CASE("a failure that another instance reports counts like an own one")
{
    UpstreamBoard board;
    board.setEntries(start, makeEntries(1));
    board.takeFailure(start, {upstreamKey(UpstreamId{"u100"}, 1)});
    CHECK(board.find(UpstreamId{"u100"}, 1)->belief.probability(start) > 0.9);
    board.takeFailure(start, {upstreamKey(UpstreamId{"u100"}, 2)});
    CHECK_MESSAGE(board.find(UpstreamId{"u100"}, 2) == nullptr, "a notice about another incarnation made an upstream");
    std::vector<UpstreamEntry> restarted{makeEntry("u100", 2)};
    board.setEntries(start, restarted);
    CHECK_MESSAGE(board.find(UpstreamId{"u100"}, 2)->belief.probability(start) < 0.5, "evidence outlived its incarnation");
}

// Guards against leaving most sound upstreams without work: at a sudden loss of instances that counted as a broken floor.
TEST_CASE("every upstream that is not believed bad gets a request within two seconds")
{
    constexpr int upstreams = 21;
    constexpr int requestsPerSecond = 60;
    UpstreamBoard board;
    board.setEntries(start, makeEntries(upstreams));
    RandomSource random(7);
    std::map<std::string, TimePoint> last;
    Duration longest{};
    for (int count = 0; count < requestsPerSecond * 20; ++count) {
        const TimePoint now = start + Duration{seconds{1}} * count / requestsPerSecond;
        const UpstreamChoice choice = chooseUpstream(now, board, ask(routing::Repeatability::Once), random);
        REQUIRE(choice.upstream != nullptr);
        const UpstreamId id = choice.upstream->entry.id;
        if (last.contains(id.value)) {
            longest = std::max(longest, now - last[id.value]);
        }
        last[id.value] = now;
        board.begin(now, *choice.upstream);
        board.end(now, id, 1, AttemptOutcome::Answered, milliseconds{100});
    }
    CHECK_MESSAGE(last.size() == upstreams, "only " << last.size() << " upstreams were used");
    CHECK_MESSAGE(longest <= seconds{2}, "an upstream had no request for " << toMilliseconds(longest) << " ms");
}

// Guards against new upstreams that stay without work: each change of another upstream began their cold start anew.
TEST_CASE("a new upstream is used when its cold start is over, whatever changes meanwhile")
{
    UpstreamBoard board;
    std::vector<UpstreamEntry> entries = makeEntries(3);
    entries[0].warmupLeft = seconds{3};
    RandomSource random(3);
    std::set<std::string> used;
    for (int tenth = 0; tenth < 60; ++tenth) {
        const TimePoint now = start + Duration{milliseconds{100}} * tenth;
        board.setEntries(now, entries);
        const UpstreamChoice choice = chooseUpstream(now, board, ask(routing::Repeatability::Once), random);
        REQUIRE(choice.upstream != nullptr);
        board.begin(now, *choice.upstream);
        board.end(now, choice.upstream->entry.id, 1, AttemptOutcome::Answered, milliseconds{50});
        used.insert(choice.upstream->entry.id.value);
    }
    CHECK_MESSAGE(used.contains("u100"), "the new upstream got no request in three seconds after its cold start");
}

// Guards against a broken floor: gray episodes are the upstreams' ordinary state, and those in one count as sound.
TEST_CASE("the floor's share of the ready upstreams gets requests in every two seconds, also when many of them fail")
{
    constexpr int upstreams = 20;
    constexpr int failing = 8;
    constexpr int requestsPerSecond = 80;
    constexpr int total = requestsPerSecond * 20;
    UpstreamBoard board;
    board.setEntries(start, makeEntries(upstreams));
    RandomSource random(11);
    ChoiceRequest request = ask(routing::Repeatability::Once);
    request.floorShare = 0.7;
    std::vector<std::string> used;
    int failed = 0;
    for (int count = 0; count < total; ++count) {
        const TimePoint now = start + Duration{seconds{1}} * count / requestsPerSecond;
        const UpstreamChoice choice = chooseUpstream(now, board, request, random);
        REQUIRE(choice.upstream != nullptr);
        const UpstreamId id = choice.upstream->entry.id;
        const bool fails = id.value < "u" + std::to_string(100 + failing);
        board.begin(now, *choice.upstream);
        board.end(now, id, 1, fails ? AttemptOutcome::Failed : AttemptOutcome::Answered, milliseconds{100});
        failed += fails ? 1 : 0;
        used.push_back(id.value);
    }
    constexpr std::ptrdiff_t settled = std::ptrdiff_t{requestsPerSecond} * 4;
    constexpr std::ptrdiff_t windowSize = std::ptrdiff_t{requestsPerSecond} * 2;
    constexpr std::ptrdiff_t step = 20;
    for (std::ptrdiff_t first = settled; first + windowSize <= total; first += step) {
        const std::set<std::string> window(used.begin() + first, used.begin() + first + windowSize);
        CHECK_MESSAGE(window.size() >= 14, "only " << window.size() << " of 20 upstreams got requests");
    }
    CHECK_MESSAGE(failed < total / 20, "one request in twenty or more went to failing upstreams: " << failed);
}

// Guards against upstreams that count as used for as long as an old request runs there: 60 of 126 got nothing new for two
// seconds while some were slow (avn-puerta-grown trouble-2, FLOOR).
TEST_CASE("upstreams whose requests run long still get new ones in every two seconds")
{
    constexpr int upstreams = 20;
    constexpr int slow = 10;
    constexpr int requestsPerSecond = 100;
    UpstreamBoard board;
    board.setEntries(start, makeEntries(upstreams));
    RandomSource random(9);
    LoadReport others;
    for (int index = 0; index < slow; ++index) {
        const UpstreamId id{"u" + std::to_string(100 + index)};
        UpstreamRecord *record = board.find(id, 1);
        board.begin(start, *record);
        // Others failed there too, so that no upstream of these is attractive.
        board.takeFailure(start, {record->key});
        others.items.push_back({record->key, 2, 0, 0});
    }
    ChoiceRequest request = ask(routing::Repeatability::Once);
    request.floorShare = 0.7;
    request.requestsPerSecond = requestsPerSecond;
    std::set<std::string> used;
    constexpr int first = requestsPerSecond * 3;
    for (int count = 0; count < first + 2 * requestsPerSecond; ++count) {
        const TimePoint now = start + Duration{seconds{1}} * count / requestsPerSecond;
        if (count % (requestsPerSecond / 4) == 0) {
            board.takeReport(now, InstanceId{"other"}, others);
        }
        const UpstreamChoice choice = chooseUpstream(now, board, request, random);
        REQUIRE(choice.upstream != nullptr);
        const UpstreamId id = choice.upstream->entry.id;
        board.begin(now, *choice.upstream);
        board.end(now, id, 1, AttemptOutcome::Answered, milliseconds{100});
        if (count >= first) {
            used.insert(id.value);
        }
    }
    CHECK_MESSAGE(used.size() >= 14, "only " << used.size() << " of 20 upstreams got new requests");
}

TEST_CASE("a draining, unreachable, misdirected or tried upstream is not chosen, and a full one only waits")
{
    UpstreamBoard board;
    std::vector<UpstreamEntry> entries = makeEntries(4);
    entries[0].status = UpstreamStatus::Draining;
    board.setEntries(start, entries);
    board.end(start, entries[1].id, 1, AttemptOutcome::Unreachable, {});
    board.end(start, entries[2].id, 1, AttemptOutcome::Misdirected, {});
    RandomSource random(1);
    ChoiceRequest request = ask(routing::Repeatability::Idempotent);
    CHECK(chooseUpstream(start, board, request, random).upstream->entry.id == entries[3].id);
    board.end(start, entries[3].id, 1, AttemptOutcome::NotRun, {});
    CHECK(chooseUpstream(start, board, request, random).reason == ChoiceReason::NoRoom);
    request.excluded = {entries[3].id};
    CHECK(chooseUpstream(start, board, request, random).reason == ChoiceReason::NoUpstream);
}

// Guards against spending the fleet's coverage on upstreams that are gone: each instance asked them anew for itself, and
// sound upstreams stayed without a request.
TEST_CASE("an upstream that another instance found gone from its address is not chosen until its entry changes")
{
    UpstreamBoard board;
    std::vector<UpstreamEntry> entries = makeEntries(2);
    board.setEntries(start, entries);
    RandomSource random(5);
    board.takeMisdirected(start, {upstreamKey(UpstreamId{"u100"}, 1)});
    for (int second = 0; second < 4; ++second) {
        const UpstreamChoice choice = chooseUpstream(start + seconds{second}, board, ask(routing::Repeatability::Once), random);
        REQUIRE(choice.upstream != nullptr);
        CHECK_MESSAGE(choice.upstream->entry.id.value == "u101", "an upstream that is gone was chosen");
    }
    entries[0].address = "127.0.0.1:2";
    entries[0].sequence = 2;
    board.setEntries(start, entries);
    CHECK_MESSAGE(board.find(UpstreamId{"u100"}, 1)->unusableUntil == TimePoint{}, "a new address is still passed over");
}

TEST_CASE("the load of other instances counts, is replaced by their next report and ends with their silence")
{
    UpstreamBoard board;
    board.setEntries(start, makeEntries(1));
    const std::uint32_t key = upstreamKey(UpstreamId{"u100"}, 1);
    const UpstreamRecord *record = board.find(UpstreamId{"u100"}, 1);
    board.takeReport(start, InstanceId{"a"}, {{{key, 4, 0}}});
    board.takeReport(start, InstanceId{"b"}, {{{key, 2, 0}}});
    CHECK(record->inFlight() == 6);
    board.takeReport(start + milliseconds{1000}, InstanceId{"a"}, {{{key, 1, 0}}});
    CHECK(record->inFlight() == 3);
    board.expireReports(start + milliseconds{2000});
    CHECK(record->inFlight() == 1);
}

TEST_CASE("old reports change nothing, and a removed upstream returns with a later report only")
{
    UpstreamCatalogue catalogue;
    CHECK(catalogue.apply(makeEntry("u", 5, 3)) == CatalogueChange::Added);
    UpstreamEntry old = makeEntry("u", 5, 2);
    old.status = UpstreamStatus::Draining;
    CHECK_MESSAGE(catalogue.apply(old) == CatalogueChange::Nothing, "an earlier report of the same incarnation was taken");
    CHECK_MESSAGE(catalogue.apply(makeEntry("u", 4, 9)) == CatalogueChange::Nothing, "a report of an earlier incarnation was taken");
    CHECK(catalogue.apply(makeEntry("u", 5, 4)) == CatalogueChange::Nothing);
    CHECK(catalogue.remove(UpstreamId{"u"}) == CatalogueChange::Removed);
    CHECK_MESSAGE(catalogue.apply(makeEntry("u", 5, 4)) == CatalogueChange::Nothing, "an old report brought a removed upstream back");
    CHECK(catalogue.apply(makeEntry("u", 5, 5)) == CatalogueChange::Added);
    CHECK_MESSAGE(catalogue.remove(DepartedUpstream{UpstreamId{"u"}, 5, 4}) == CatalogueChange::Nothing,
                  "another instance's older removal was taken");
    CHECK(catalogue.remove(DepartedUpstream{UpstreamId{"u"}, 5, 6}) == CatalogueChange::Removed);
    CHECK(catalogue.replace({makeEntry("v")}));
    CHECK(catalogue.entries().size() == 1);
}

TEST_CASE("one instance of each data centre reads the store, and any whose knowledge is old")
{
    membership::MembershipView view;
    std::vector<ReaderDuty> duties;
    for (int index = 0; index < 6; ++index) {
        const std::string id = "i" + std::to_string(index);
        const DataCentreId dataCentre{index < 3 ? "a" : "b"};
        view.members.push_back({{InstanceId{id}, 1}, "x", dataCentre, membership::MemberState::Live});
        duties.emplace_back(InstanceId{id}, dataCentre);
    }
    int readers = 0;
    int anxious = 0;
    for (ReaderDuty &duty : duties) {
        duty.noteKnowledge(start);
        readers += duty.shouldRead(start + milliseconds{500}, view) ? 1 : 0;
        anxious += duty.shouldRead(start + maximumAge + milliseconds{1}, view) ? 1 : 0;
    }
    CHECK(readers == 2);
    CHECK(anxious == 6);
}

TEST_CASE("a request that crashes upstreams is refused, and one that met ordinary resets is not")
{
    CrashLedger ledger;
    constexpr std::uint64_t request = 42;
    for (std::uint32_t upstream = 1; upstream <= 2; ++upstream) {
        ledger.noteBroken(start, request, upstream);
        CHECK_MESSAGE(!ledger.refused(request), "refused without a crash of two upstreams");
        const auto suspects = ledger.noteUnreachable(start + milliseconds{300}, upstream);
        REQUIRE(suspects.size() == 1);
        ledger.noteCrash(start, suspects.front(), upstream);
    }
    CHECK(ledger.refused(request));
    ledger.noteBroken(start, 43, 9);
    CHECK_MESSAGE(ledger.noteUnreachable(start + seconds{5}, 9).empty(), "a reset long before the upstream became unreachable is a crash");
}

TEST_CASE("what may follow the end of an attempt")
{
    using routing::AttemptEnd;
    using routing::NextStep;
    using routing::Repeatability;
    struct Case {
        Repeatability repeatability;
        AttemptEnd end;
        bool mayHaveRun;
        bool budget;
        NextStep step;
    };
    const std::vector<Case> cases{
        {Repeatability::Once, AttemptEnd::Answered, true, true, NextStep::Deliver},
        {Repeatability::Once, AttemptEnd::FailureAnswer, true, true, NextStep::Deliver},
        {Repeatability::Once, AttemptEnd::Broken, true, true, NextStep::FailUnknown},
        {Repeatability::Once, AttemptEnd::TimedOut, true, true, NextStep::FailUnknown},
        {Repeatability::Once, AttemptEnd::NotRun, false, true, NextStep::Retry},
        {Repeatability::Once, AttemptEnd::NotRun, false, false, NextStep::RefuseNotRun},
        {Repeatability::Once, AttemptEnd::Unreachable, false, false, NextStep::Retry},
        {Repeatability::Idempotent, AttemptEnd::FailureAnswer, true, true, NextStep::Retry},
        {Repeatability::Idempotent, AttemptEnd::FailureAnswer, true, false, NextStep::Deliver},
        {Repeatability::Idempotent, AttemptEnd::Broken, true, false, NextStep::FailUnknown},
        {Repeatability::Idempotent, AttemptEnd::NotRun, true, false, NextStep::FailUnknown},
    };
    for (const Case &entry : cases) {
        const NextStep step =
            routing::nextStep({entry.repeatability, entry.end, entry.mayHaveRun, entry.mayHaveRun ? 1 : 0, 1, 3, entry.budget, seconds{2}});
        CHECK_MESSAGE(step == entry.step,
                      "wrong step for " << static_cast<int>(entry.repeatability) << "/" << static_cast<int>(entry.end) << ": "
                                        << static_cast<int>(step));
    }
    CHECK_MESSAGE(routing::nextStep({Repeatability::Idempotent, AttemptEnd::Broken, true, 3, 3, 3, true, seconds{2}})
                      == NextStep::FailUnknown,
                  "more upstreams than the route allows");
}

TEST_CASE("the longest prefix of the host decides, and splits keep their shares exactly")
{
    routing::Route shortRoute;
    shortRoute.host = "h.example";
    shortRoute.pathPrefix = "/a/";
    shortRoute.services = {{ServiceId{"s1"}, 90}, {ServiceId{"s2"}, 10}};
    routing::Route longRoute = shortRoute;
    longRoute.pathPrefix = "/a/b/";
    const routing::RouteTable table(1, {shortRoute, longRoute}, {}, {});
    REQUIRE(table.match("H.example:80", "/a/b/c") != nullptr);
    CHECK(table.match("h.example", "/a/b/c")->pathPrefix == "/a/b/");
    CHECK(table.match("h.example", "/a/x")->pathPrefix == "/a/");
    CHECK(table.match("h.example", "/x") == nullptr);
    CHECK(table.match("other.example", "/a/x") == nullptr);
    routing::TrafficSplit split;
    std::map<std::string, int> counts;
    for (int count = 0; count < 100; ++count) {
        ++counts[split.next(shortRoute).value];
    }
    CHECK(counts["s1"] == 90);
    CHECK(counts["s2"] == 10);
}

TEST_CASE("datagrams survive their encoding, and malformed ones give nothing")
{
    const InstanceRef from{InstanceId{"i"}, 7};
    const std::vector<FleetMessage> messages{LoadReport{{{1, 2, 3, 4}, {4, 5, 6, 7}}, {{7, 8}}, true},
                                             FailureNotice{9},
                                             CrashNotice{1234567890123ULL, 5},
                                             MisdirectedNotice{6},
                                             StoreNotice{12, 34, milliseconds{56}},
                                             UpstreamDelta{{makeEntry("u", 3, 4)}, {{UpstreamId{"v"}, 5, 6}}},
                                             membership::MembershipMessage{membership::Ping{3, false, {}, {}}}};
    for (const FleetMessage &message : messages) {
        const std::string bytes = encodeDatagram({from, message});
        const auto decoded = decodeDatagram(bytes);
        REQUIRE(decoded.has_value());
        CHECK(decoded->from == from);
        CHECK(decoded->message == message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CHECK_MESSAGE(!decodeDatagram(std::string_view(bytes).substr(0, size)).has_value(), "a cut datagram was accepted");
        }
    }
    CHECK(!decodeDatagram("\x01").has_value());
}
