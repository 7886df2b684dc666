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
