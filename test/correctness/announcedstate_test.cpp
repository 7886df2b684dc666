/** What upstreams announce of themselves: the table of upstreams, the choice and the messages, without a network. */
#include "base/random.h"
#include "fleet/upstreamchoice.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours{1}};

UpstreamEntry entryOf(const std::string &id, std::int64_t incarnation = 1)
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.service = ServiceId{"s"};
    entry.address = "10.0.0.1:80";
    entry.slots = 6;
    entry.incarnation = incarnation;
    return entry;
}

UpstreamSignals leavingSignal()
{
    UpstreamSignals signals;
    signals.leaving = true;
    return signals;
}

UpstreamSignals restSignal(Duration time)
{
    UpstreamSignals signals;
    signals.retryAfter = time;
    return signals;
}

UpstreamChoice choose(TimePoint now, const UpstreamTable &table, double floorShare = 0)
{
    RandomSource random(1);
    ChoiceRequest request;
    request.service = ServiceId{"s"};
    request.requestsPerSecond = 10;
    request.floorShare = floorShare;
    return chooseUpstream(now, table, request, random);
}

UpstreamNotice roundTrip(const UpstreamNotice &notice)
{
    const auto datagram = decodeDatagram(encodeDatagram({{InstanceId{"a"}, 1}, notice}));
    REQUIRE(datagram.has_value());
    return std::get<UpstreamNotice>(datagram->message);
}

} // namespace

TEST_CASE("an upstream that leaves is not chosen to cover the floor")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    CHECK(table.recordSignals(start, UpstreamId{"a"}, 1, leavingSignal(), true)->leaving);
    for (TimePoint now = start; now < start + seconds{10}; now += milliseconds{100}) {
        const UpstreamChoice choice = choose(now, table, 1.0);
        REQUIRE(choice.upstream != nullptr);
        CHECK_MESSAGE(choice.upstream->entry.id.value == "b", "a request was sent to an upstream that leaves");
        CHECK(choice.ready == 1);
        static_cast<void>(table.beginAttempt(now, *choice.upstream));
        table.endAttempt(now, choice.upstream->entry.id, 1, AttemptOutcome::Answered, milliseconds{2});
    }
}

TEST_CASE("leaving belongs to a process: it outlasts a missing entry and ends with the incarnation")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a")});
    CHECK(table.recordSignals(start, UpstreamId{"a"}, 1, leavingSignal(), true).has_value());
    CHECK_MESSAGE(!table.recordSignals(start, UpstreamId{"a"}, 1, leavingSignal(), true).has_value(), "a known signal is told again");
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, {}, true));
    CHECK_MESSAGE(choose(start, table).reason == ChoiceReason::AllLeaving, "an answer without the signal took it back");
    CHECK_MESSAGE(table.setEntries(start + seconds{1}, {}).empty(), "an upstream that left as announced counts as gone without notice");
    table.setEntries(start + seconds{2}, {entryOf("a")});
    CHECK_MESSAGE(choose(start + seconds{2}, table).upstream == nullptr, "the entry came back, and the leaving was forgotten");
    table.setEntries(start + seconds{3}, {entryOf("a", 2)});
    CHECK_MESSAGE(choose(start + seconds{3}, table).upstream != nullptr, "a new process inherits the leaving of the former one");
}

TEST_CASE("other instances learn of a leaving upstream, and an unknown upstream in a notice changes nothing")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    const std::uint32_t key = upstreamKey(UpstreamId{"a"}, 1);
    const std::uint32_t otherIncarnation = upstreamKey(UpstreamId{"a"}, 2);
    CHECK(table.applyNotice(start, {{{otherIncarnation, 0, 0, std::nullopt, true}}}).empty());
    CHECK(choose(start, table).ready == 2);
    CHECK(table.applyNotice(start, {{{key, 0, 0, std::nullopt, true}}}).size() == 1);
    CHECK_MESSAGE(table.applyNotice(start, {{{key, 0, 0, std::nullopt, true}}}).empty(), "a known signal is reported again");
    CHECK(choose(start, table).ready == 1);
}

TEST_CASE("notices with and without announcements survive a round trip")
{
    const UpstreamNotice notice{{{1, 2, 3}, {4, 0, 1, 2.5}, {5, 0, 0, std::nullopt, true}, {6, 0, 0, noRateLimit, true}}};
    CHECK(roundTrip(notice) == notice);
}

TEST_CASE("callers are refused at once when all upstreams leave, by their entries or their answers")
{
    UpstreamTable table;
    UpstreamEntry draining = entryOf("b");
    draining.status = UpstreamStatus::Draining;
    table.setEntries(start, {entryOf("a"), draining});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, leavingSignal(), false));
    const UpstreamChoice choice = choose(start, table);
    CHECK(choice.reason == ChoiceReason::AllLeaving);
    CHECK_MESSAGE(choice.wait > Duration::zero(), "the request would wait for nothing");
    UpstreamTable empty;
    CHECK(choose(start, empty).reason == ChoiceReason::NoUpstream);
}

TEST_CASE("an upstream that rests is not chosen to cover the floor, and is chosen again afterwards")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{4}), false));
    // A shorter time in a later answer does not end the rest sooner.
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{1}), false));
    bool usedAgain = false;
    for (TimePoint now = start; now < start + seconds{8}; now += milliseconds{100}) {
        const UpstreamChoice choice = choose(now, table, 1.0);
        REQUIRE(choice.upstream != nullptr);
        const bool rests = now < start + seconds{4};
        const bool first = choice.upstream->entry.id.value == "a";
        CHECK_MESSAGE(!(rests && first), "a request was sent to an upstream during its rest");
        usedAgain = usedAgain || first;
        static_cast<void>(table.beginAttempt(now, *choice.upstream));
        table.endAttempt(now, choice.upstream->entry.id, 1, AttemptOutcome::Answered, milliseconds{2});
    }
    CHECK_MESSAGE(usedAgain, "the upstream is not used after its rest");
}

TEST_CASE("a rest outlasts a missing entry and ends with the incarnation")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a")});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{30}), false));
    table.setEntries(start + seconds{1}, {});
    table.setEntries(start + seconds{2}, {entryOf("a")});
    const UpstreamChoice choice = choose(start + seconds{2}, table);
    CHECK(choice.reason == ChoiceReason::Resting);
    CHECK(choice.retryAfter == seconds{28});
    table.setEntries(start + seconds{3}, {entryOf("a", 2)});
    CHECK_MESSAGE(choose(start + seconds{3}, table).upstream != nullptr, "a new process inherits the rest of the former one");
}

TEST_CASE("a request that all upstreams have rejected is refused with the end of the first rest")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{2}), false));
    static_cast<void>(table.recordSignals(start, UpstreamId{"b"}, 1, restSignal(seconds{6}), false));
    RandomSource random(1);
    ChoiceRequest request;
    request.service = ServiceId{"s"};
    UpstreamChoice choice = chooseUpstream(start, table, request, random);
    CHECK(choice.wait == seconds{2});
    CHECK(choice.retryAfter == seconds{2});
    request.excluded = {UpstreamId{"a"}};
    choice = chooseUpstream(start, table, request, random);
    CHECK(choice.wait == seconds{6});
    CHECK_MESSAGE(choice.retryAfter == seconds{2}, "a new request may use an upstream that this one has tried");
    request.excluded = {UpstreamId{"a"}, UpstreamId{"b"}};
    choice = chooseUpstream(start, table, request, random);
    CHECK(choice.reason == ChoiceReason::Resting);
    CHECK_MESSAGE(choice.wait == Duration::max(), "the request would wait although it has tried all upstreams");
    CHECK(choice.retryAfter == seconds{2});
}

TEST_CASE("each announcement ends once, with its age")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{2}), false));
    static_cast<void>(table.recordSignals(start + seconds{1}, UpstreamId{"a"}, 1, restSignal(seconds{3}), false));
    static_cast<void>(table.recordSignals(start, UpstreamId{"b"}, 1, leavingSignal(), true));
    CHECK(table.takeAnnouncementEnds(start + seconds{3}).empty());
    const std::vector<AnnouncementEnd> rest = table.takeAnnouncementEnds(start + seconds{4});
    CHECK(rest == std::vector<AnnouncementEnd>{{entryOf("a"), AnnouncementEnd::What::Rest, seconds{4}}});
    table.setEntries(start + seconds{5}, {entryOf("a")});
    const std::vector<AnnouncementEnd> left = table.takeAnnouncementEnds(start + seconds{5});
    CHECK(left == std::vector<AnnouncementEnd>{{entryOf("b"), AnnouncementEnd::What::Leaving, seconds{5}}});
    CHECK(table.takeAnnouncementEnds(start + seconds{6}).empty());
}

TEST_CASE("an upstream that cannot be reached is waited for although the others rest")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    static_cast<void>(table.recordSignals(start, UpstreamId{"a"}, 1, restSignal(seconds{4}), false));
    table.endAttempt(start, UpstreamId{"b"}, 1, AttemptOutcome::Unreachable, {});
    const UpstreamChoice choice = choose(start, table);
    CHECK(choice.upstream == nullptr);
    CHECK_MESSAGE(choice.wait < seconds{1}, "a request is refused although an upstream may be back before long");
}

TEST_CASE("an announcement in an answer that arrives while the entry is missing holds when the entry is back")
{
    UpstreamTable table;
    table.setEntries(start, {entryOf("a"), entryOf("b")});
    table.setEntries(start + seconds{1}, {});
    CHECK(!table.recordSignals(start + seconds{1}, UpstreamId{"a"}, 1, leavingSignal(), true).has_value());
    CHECK(!table.recordSignals(start + seconds{1}, UpstreamId{"b"}, 1, restSignal(seconds{4}), false).has_value());
    table.setEntries(start + seconds{2}, {entryOf("a"), entryOf("b")});
    const UpstreamChoice choice = choose(start + seconds{2}, table);
    CHECK_MESSAGE(choice.upstream == nullptr, "the announcement of an upstream without an entry was dropped");
    CHECK(choice.retryAfter == seconds{3});
}
