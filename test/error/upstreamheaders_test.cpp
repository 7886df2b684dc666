/** Malformed and hostile headers about the state of an upstream or of the store have a bounded effect or none. */
#include "platform/storeclient.h"
#include "platform/upstreamheaders.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdawdoor;

TEST_CASE("a malformed rate limit of an upstream is ignored")
{
    for (const char *value : {"", "x", "-1", "1,5", "nan", "inf", "1e400", "0x10", "1 per second", "+1", "1e2", "1.5.2"}) {
        const net::Headers headers{{"Server-Limit", value}};
        CHECK_MESSAGE(!platform::decodeSignals(200, headers).rateLimit.has_value(), "accepted: '" << value << "'");
    }
    const net::Headers twice{{"server-limit", "3"}, {"Server-Limit", "x"}, {"Server-Limit", "1.5"}};
    CHECK(platform::decodeSignals(200, twice).rateLimit == 1.5);
    const net::Headers longValue{{"Server-Limit", std::string(100000, '9')}};
    CHECK_MESSAGE(platform::decodeSignals(200, longValue).rateLimit.value_or(1) > 0, "a long value was not bounded");
    CHECK(platform::decodeSignals(200, {}) == fleet::UpstreamSignals{});
}

TEST_CASE("a malformed Retry-After of an upstream is ignored, and a huge one is bounded")
{
    for (const char *value : {"", "x", "-1", "1,5", "nan", "inf", "1e400", "0x10", "2 s", "+1", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const net::Headers headers{{"Retry-After", value}};
        CHECK_MESSAGE(!platform::decodeSignals(503, headers).retryAfter.has_value(), "accepted: '" << value << "'");
    }
    const net::Headers fraction{{"retry-after", "2.5"}};
    CHECK(platform::decodeSignals(503, fraction).retryAfter == Duration{std::chrono::milliseconds{2500}});
    const net::Headers twice{{"Retry-After", "3"}, {"Retry-After", "x"}, {"Retry-After", "1"}};
    CHECK(platform::decodeSignals(503, twice).retryAfter == Duration{std::chrono::seconds{3}});
    const net::Headers huge{{"Retry-After", "99999999999999999999"}};
    CHECK(platform::decodeSignals(503, huge).retryAfter <= Duration{std::chrono::minutes{10}});
    CHECK_MESSAGE(!platform::decodeSignals(200, fraction).retryAfter.has_value(), "an answer that rejects nothing asks for no rest");
}

TEST_CASE("only the agreed value of the leaving header says that an upstream leaves")
{
    for (const char *value : {"", "0", "2", "x", "true", "11", "-1"}) {
        CHECK_MESSAGE(!platform::decodeSignals(200, {{"Server-Leaving", value}}).leaving, "accepted: '" << value << "'");
    }
    CHECK(platform::decodeSignals(200, {{"server-leaving", "x"}, {"Server-Leaving", "1"}}).leaving);
    CHECK(platform::decodeSignals(503, {{"Server-Leaving", "1"}}).leaving);
}

TEST_CASE("a malformed number of the store's history counts as none")
{
    for (const char *value : {"", "x", "-1", "1.5", "0x10", "+1", "99999999999999999999999"}) {
        CHECK_MESSAGE(!platform::decodeHistory({{"Store-Era", value}}).has_value(), "accepted: '" << value << "'");
    }
    CHECK(platform::decodeHistory({{"store-era", "7"}}) == 7);
    CHECK(!platform::decodeHistory({}).has_value());
}
