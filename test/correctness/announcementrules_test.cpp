/** The soak's checks of announcements: each reports the system that breaks its rule, and no other. */
#include "soak/announcementrules.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace jackdawdoor;
using namespace jackdawdoor::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours{1}};
const InstanceLife instance{0, 1};
const UpstreamLife upstream{"u1", 1};

} // namespace

TEST_CASE("the soak reports a request that reaches an upstream too late after its leaving was passed on")
{
    AnnouncementRules rules;
    rules.leavingPassedOn(start, instance, upstream);
    rules.leavingPassedOn(start + seconds{5}, instance, upstream);
    const TimePoint late = start + leavingBound + milliseconds{1};
    CHECK(rules.arrived(late, start + leavingBound, instance, upstream).empty());
    CHECK(rules.arrived(late, late, instance, upstream).size() == 1);
    CHECK_MESSAGE(rules.arrived(late, late, {1, 1}, upstream).empty(), "another instance has passed nothing on");
    CHECK_MESSAGE(rules.arrived(late, late, {0, 2}, upstream).empty(), "a restart excuses");
    CHECK_MESSAGE(rules.arrived(late, late, instance, {"u1", 2}).empty(), "a new process of the upstream does not leave");
}

TEST_CASE("the soak reports the third request that reaches an upstream during a rest")
{
    AnnouncementRules rules;
    const auto arrives = [&rules](Duration after) {
        return rules.arrived(start + after, start + after, instance, upstream).size();
    };
    rules.restAsked(start, instance, upstream, seconds{4});
    CHECK(arrives(milliseconds{100}) == 0);
    CHECK(arrives(milliseconds{500}) == 0);
    CHECK(arrives(milliseconds{501}) == 0);
    CHECK(arrives(seconds{2}) == 0);
    CHECK(arrives(seconds{3}) == 1);
    CHECK(arrives(seconds{4}) == 0);
    CHECK(rules.arrived(start + seconds{3}, start, {0, 2}, upstream).empty());
}
