/** Whole decision core: instances in virtual time against scripted upstreams and a scripted log. */
#include "publishedfleet.h"

#include <doctest/doctest.h>

using namespace jackdawdoor;
using fakes::CallerAnswer;
using test::PublishedFleet;

TEST_CASE("a publish is in force on every instance within five seconds")
{
    PublishedFleet published(12);
    for (std::size_t index = 0; index < published.fleet.size(); ++index) {
        CHECK_MESSAGE(published.fleet.core(index).ready(), "instance ", index, " has no contract five seconds after the publish");
    }
}

TEST_CASE("an idempotent request is answered by an upstream")
{
    PublishedFleet published(6);
    int answered = 0;
    constexpr int requests = 200;
    for (int number = 0; number < requests; ++number) {
        published.fleet.request(
            static_cast<std::size_t>(number) % 6, published.read("/products/7"), [&answered](const CallerAnswer &answer) {
                answered += answer.kind == CallerAnswer::Kind::Answered ? 1 : 0;
                CHECK_MESSAGE(answer.kind == CallerAnswer::Kind::Answered, "refused: ", answer.refusal.reason);
            });
        published.fleet.run(std::chrono::milliseconds{10});
    }
    published.fleet.run(std::chrono::seconds{5});
    CHECK_MESSAGE(answered == requests, "some request to a healthy service was not answered");
}

// Guards against new work for an upstream that the platform is about to stop.
TEST_CASE("an upstream that is leaving gets no new work after three seconds")
{
    constexpr auto drainLimit = std::chrono::seconds{3};
    PublishedFleet published(6);
    const contract::UpstreamPolicy &leaving = published.policy.services.front().upstreams.front();
    const auto sendReads = [&published](int count) {
        for (int number = 0; number < count; ++number) {
            published.fleet.request(static_cast<std::size_t>(number) % 6, published.read("/products/7"), [](const CallerAnswer &) {});
            published.fleet.run(std::chrono::milliseconds{5});
        }
    };
    sendReads(1000);
    fakes::FakeUpstream &upstream = published.fleet.upstreams.at(leaving.id);
    REQUIRE_MESSAGE(upstream.received > 0, "the upstream had no work before it left");
    published.fleet.leavingUpstreams = {leaving.address};
    const TimePoint told = published.fleet.now();
    sendReads(2000);
    CHECK_MESSAGE(
        upstream.lastReceived - told < drainLimit, "the upstream still got work ", toSeconds(upstream.lastReceived - told), " s later");
}
