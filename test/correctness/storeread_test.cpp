/** When the reads of one of the store's topics are due. */
#include "proxy/storeread.h"

#include <doctest/doctest.h>

using namespace jackdawdoor;
using proxy::StoreRead;
using std::chrono::milliseconds;

namespace {

const TimePoint start{std::chrono::hours{1}};

} // namespace

TEST_CASE("a failed read is repeated after a delay that doubles once, and a successful one at once")
{
    StoreRead reads;
    CHECK(reads.due(start));
    CHECK(reads.fail(start, reads.begin(start)));
    CHECK_FALSE(reads.due(start + milliseconds{499}));
    CHECK(reads.due(start + milliseconds{500}));
    for (int count = 0; count < 3; ++count) {
        reads.fail(start, reads.begin(start));
    }
    CHECK_FALSE(reads.due(start + milliseconds{999}));
    CHECK(reads.due(start + milliseconds{1000}));
    CHECK(reads.succeed(reads.begin(start)));
    CHECK(reads.due(start));
    reads.fail(start, reads.begin(start));
    CHECK_MESSAGE(reads.due(start + milliseconds{500}), "a success does not shorten the delay");
}

TEST_CASE("the end of an abandoned read does not end the one that replaced it")
{
    StoreRead reads;
    const auto lost = reads.begin(start);
    CHECK_FALSE(reads.due(start + std::chrono::hours{1}));
    reads.abandon();
    CHECK(reads.due(start));
    CHECK_FALSE(reads.fail(start, lost));
    const auto second = reads.begin(start);
    CHECK_FALSE(reads.succeed(lost));
    CHECK_FALSE(reads.due(start));
    CHECK(reads.succeed(second));
}
