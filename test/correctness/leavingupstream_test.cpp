/** Upstreams that say in their answers that they leave: the requests they get afterwards, as seen by the upstreams. */
#include "standins/announcingfleet.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace jackdawdoor;
using standins::AnnouncingFleet;
using standins::AnnouncingUpstream;
using standins::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** A request that a caller sends later than this after an instance has passed on the signal must not reach the upstream. */
constexpr Duration drainTime = seconds{2};
const std::string leaving = "Server-Leaving: 1";

} // namespace

TEST_CASE("an upstream that says that it leaves gets no more requests while the store is away")
{
    AnnouncingUpstream departing;
    // Slower, so that an instance that does not know the signal prefers the other one.
    AnnouncingUpstream staying(milliseconds{150});
    AnnouncingFleet fleet({&departing, &staying});
    fleet.store().setFault(StoreFault::Silent);
    departing.announce(leaving);
    fleet.load(drainTime, "POST", "/once/a");
    REQUIRE_MESSAGE(departing.announcements() > 0, "the signal was never sent");
    const int before = departing.arrivals();
    fleet.load(seconds{3}, "POST", "/once/a");
    CHECK_MESSAGE(departing.arrivals() == before, (departing.arrivals() - before) << " requests reached an upstream that leaves");
    CHECK_MESSAGE(fleet.badAnswers() == 0, "requests failed although another upstream had room");
}

TEST_CASE("an entry that vanishes and comes back as ready does not undo the leaving of its upstream")
{
    AnnouncingUpstream departing;
    AnnouncingUpstream staying(milliseconds{150});
    AnnouncingFleet fleet({&departing, &staying});
    departing.announce(leaving);
    fleet.load(drainTime, "GET", "/safe/a");
    REQUIRE_MESSAGE(departing.announcements() > 0, "the signal was never sent");
    fleet.removeEntry(0);
    fleet.waitForUpstreams(1);
    fleet.writeEntry(0);
    fleet.waitForUpstreams(2);
    const int before = departing.arrivals();
    fleet.load(seconds{3}, "GET", "/safe/a");
    CHECK_MESSAGE(departing.arrivals() == before, (departing.arrivals() - before) << " requests reached an upstream that leaves");
}

TEST_CASE("a new process at the address of an upstream that left is used")
{
    AnnouncingUpstream departing;
    AnnouncingUpstream staying(milliseconds{150});
    AnnouncingFleet fleet({&departing, &staying});
    departing.announce(leaving);
    fleet.load(drainTime, "GET", "/safe/a");
    departing.announce("");
    fleet.restartUpstream(0);
    const int before = departing.arrivals();
    fleet.load(seconds{4}, "GET", "/safe/a");
    CHECK_MESSAGE(departing.arrivals() > before, "the leaving of a former process keeps out the new one");
}

TEST_CASE("a hedge does not go to an upstream that leaves")
{
    AnnouncingUpstream departing;
    AnnouncingUpstream slow;
    AnnouncingFleet fleet({&departing, &slow});
    departing.announce(leaving);
    fleet.load(drainTime, "GET", "/safe/a");
    slow.setAnswerTime(seconds{1}); // long enough for a hedge
    const int before = departing.arrivals();
    fleet.load(seconds{3}, "GET", "/safe/a");
    CHECK_MESSAGE(departing.arrivals() == before, (departing.arrivals() - before) << " hedges reached an upstream that leaves");
}

TEST_CASE("requests are refused at once when all upstreams leave")
{
    AnnouncingUpstream first;
    AnnouncingUpstream second;
    AnnouncingFleet fleet({&first, &second});
    first.announce(leaving);
    second.announce(leaving);
    fleet.load(drainTime, "POST", "/once/a");
    const int before = first.arrivals() + second.arrivals();
    const int refused = fleet.refused();
    fleet.load(seconds{2}, "POST", "/once/a");
    CHECK_MESSAGE(first.arrivals() + second.arrivals() == before, "requests reached upstreams that leave");
    CHECK_MESSAGE(fleet.refused() > refused, "requests that nothing can serve were not refused");
    CHECK_MESSAGE(fleet.badAnswers() == 0, "a request that cannot be served was not refused at once with Retry-After");
}
