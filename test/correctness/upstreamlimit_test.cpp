/** Upstreams that announce a fleet-wide rate limit: the requests they get, as seen by the upstreams. */
#include "standins/announcingfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace jackdawdoor;
using standins::AnnouncingFleet;
using standins::AnnouncingUpstream;

namespace {

/** The limit must be kept from this time after the first answer that announced it, in each window of the given length. */
constexpr Duration learningTime = std::chrono::seconds{3};
constexpr Duration windowLength = std::chrono::seconds{4};

/** Requests that an upstream may get in a window. */
double allowedInWindow(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * toSeconds(windowLength) + 5;
}

/** Header line that announces a rate limit. */
std::string limitHeader(const std::string &limit)
{
    return "Server-Limit: " + limit;
}

/** Most requests in one window, from the time when the limit must be kept. */
int mostInWindow(AnnouncingUpstream &upstream)
{
    const std::vector<TimePoint> arrivals = upstream.arrivalTimes();
    int most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first < arrivals.front() + learningTime) {
            continue;
        }
        const auto end = std::upper_bound(first, arrivals.end(), *first + windowLength);
        most = std::max(most, static_cast<int>(end - first));
    }
    return most;
}

} // namespace

TEST_CASE("a fleet does not exceed the rate limit that an upstream announces")
{
    AnnouncingUpstream limited;
    limited.announce(limitHeader("1"));
    // Slower, so that an instance that does not know the limit prefers the other one.
    AnnouncingUpstream free(std::chrono::milliseconds{150});
    AnnouncingFleet fleet({&limited, &free});
    fleet.load(std::chrono::seconds{9}, "POST", "/once/a");
    CHECK_MESSAGE(mostInWindow(limited) <= allowedInWindow(1), "it got " << mostInWindow(limited) << " requests in one window");
    CHECK_MESSAGE(fleet.refused() + fleet.badAnswers() == 0, "requests were lost although another upstream had room");
    const int before = limited.arrivals();
    limited.announce("");
    fleet.load(std::chrono::seconds{4}, "POST", "/once/a");
    CHECK_MESSAGE(limited.arrivals() - before > allowedInWindow(1), "the limit is kept after the upstream has stopped announcing it");
}

TEST_CASE("requests are refused at once when the rate limits of all upstreams are below the load")
{
    AnnouncingUpstream first;
    AnnouncingUpstream second;
    first.announce(limitHeader("2"));
    second.announce(limitHeader("1.5"));
    AnnouncingFleet fleet({&first, &second});
    fleet.load(std::chrono::seconds{9}, "GET", "/safe/a");
    CHECK_MESSAGE(mostInWindow(first) <= allowedInWindow(2), "it got " << mostInWindow(first) << " requests in one window");
    CHECK_MESSAGE(mostInWindow(second) <= allowedInWindow(1.5), "it got " << mostInWindow(second) << " requests in one window");
    CHECK_MESSAGE(fleet.badAnswers() == 0, "a request that cannot be sent was not refused at once with Retry-After");
    CHECK_MESSAGE(fleet.served() >= 9 * 3.5 / 2, "the limits leave room for more than the " << fleet.served() << " served requests");
}

TEST_CASE("a request that the rate limits of all upstreams reject is told when to retry")
{
    AnnouncingUpstream limited;
    limited.announce(limitHeader("0.25"));
    AnnouncingFleet fleet({&limited});
    REQUIRE(fleet.send("GET", "/safe/a").starts_with("HTTP/1.1 200"));
    const std::string answer = fleet.send("GET", "/safe/a");
    REQUIRE_MESSAGE(answer.starts_with("HTTP/1.1 503"), "the second request was not refused");
    const double seconds = standins::retryAfterSeconds(answer);
    // The rate limit allows the next request four seconds after the answer.
    CHECK_MESSAGE(seconds > 3, "Retry-After is " << seconds << " s");
}
