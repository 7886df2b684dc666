/** Upstreams that reject a request with 503 and Retry-After: the requests they get in that time, as seen by the upstreams. */
#include "net/eventloop.h"
#include "standins/announcingfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using standins::AnnouncingFleet;
using standins::AnnouncingFleetOptions;
using standins::AnnouncingUpstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Requests may reach the upstream for this long after its answer, because they were on their way. */
constexpr Duration reactionTime = milliseconds{500};
constexpr int allowedRequests = 2;
/** What an upstream asks for concerns one instance, so requests are counted at one. */
constexpr AnnouncingFleetOptions oneInstance{1};

/** Requests that arrived after the reaction time and before the rest, counted from a rejection at that time, was over. */
int duringRest(const std::vector<TimePoint> &arrivals, TimePoint rejection, Duration rest)
{
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](TimePoint arrival) {
        return arrival > rejection + reactionTime && arrival < rejection + rest;
    }));
}

/** The most requests during any rest, if each arrival was rejected. */
int mostDuringRest(const std::vector<TimePoint> &arrivals, Duration rest)
{
    int most = 0;
    for (const TimePoint rejection : arrivals) {
        most = std::max(most, duringRest(arrivals, rejection, rest));
    }
    return most;
}

} // namespace

TEST_CASE("an upstream that has asked for a rest gets no burst of requests although it is the only one")
{
    AnnouncingUpstream resting;
    AnnouncingFleet fleet({&resting}, oneInstance);
    resting.reject("4");
    fleet.send("GET", "/safe/a");
    REQUIRE(resting.arrivals() > 0);
    const TimePoint rejection = resting.arrivalTimes().back();
    resting.reject("");
    fleet.load(seconds{4}, "POST", "/once/a");
    const int requests = duringRest(resting.arrivalTimes(), rejection, seconds{4});
    CHECK_MESSAGE(requests <= allowedRequests, requests << " requests reached it during its rest");
    CHECK_MESSAGE(fleet.badAnswers() == 0, "a request that cannot be served was not refused at once with Retry-After");
    fleet.load(seconds{1}, "POST", "/once/a");
    CHECK_MESSAGE(fleet.served() > 0, "the upstream is not used again after its rest");
}

TEST_CASE("an upstream that asks for a rest with each answer gets few requests through half a minute of retries")
{
    AnnouncingUpstream resting;
    AnnouncingUpstream working(milliseconds{150});
    AnnouncingFleet fleet({&resting, &working}, oneInstance);
    fleet.load(seconds{1}, "POST", "/once/a"); // the retry budget starts empty
    const std::size_t before = resting.arrivalTimes().size();
    resting.reject("5");
    fleet.load(seconds{30}, "POST", "/once/a");
    std::vector<TimePoint> rejected = resting.arrivalTimes();
    rejected.erase(rejected.begin(), rejected.begin() + static_cast<std::ptrdiff_t>(before));
    const int most = mostDuringRest(rejected, seconds{5});
    CHECK_MESSAGE(most <= allowedRequests, most << " requests reached it during one rest");
    CHECK_MESSAGE(fleet.refused() + fleet.badAnswers() == 0, "requests were lost although another upstream had room");
}

TEST_CASE("upstreams that ask for unlike rests are used again when their own rest is over")
{
    AnnouncingUpstream shortRest;
    AnnouncingUpstream longRest;
    AnnouncingFleet fleet({&shortRest, &longRest}, oneInstance);
    shortRest.reject("2");
    longRest.reject("6");
    fleet.load(milliseconds{300}, "GET", "/safe/a");
    REQUIRE(shortRest.arrivals() > 0);
    REQUIRE(longRest.arrivals() > 0);
    const TimePoint rejection = longRest.arrivalTimes().back();
    const int before = shortRest.arrivals();
    shortRest.reject("");
    longRest.reject("");
    fleet.load(seconds{5}, "GET", "/safe/a");
    CHECK_MESSAGE(shortRest.arrivals() > before, "the upstream is not used again after its own rest");
    const int requests = duringRest(longRest.arrivalTimes(), rejection, seconds{6});
    CHECK_MESSAGE(requests <= allowedRequests, requests << " requests reached it during its rest");
}

TEST_CASE("a caller whose request all upstreams reject is told when the first of them can be used")
{
    AnnouncingUpstream first;
    AnnouncingUpstream second;
    AnnouncingFleet fleet({&first, &second}, oneInstance);
    first.reject("4");
    second.reject("60");
    fleet.load(milliseconds{300}, "GET", "/safe/a");
    const TimePoint sent = net::now();
    const std::string answer = fleet.send("POST", "/once/a");
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), "the request was not refused: " << answer.substr(0, 20));
    CHECK_MESSAGE(net::now() - sent < milliseconds{100}, "the refusal has waited although the rests are known");
    const double told = standins::retryAfterSeconds(answer);
    CHECK_MESSAGE(told > 3, "Retry-After is " << told << " s");
    CHECK_MESSAGE(told < 5.5, "Retry-After is " << told << " s");
}
