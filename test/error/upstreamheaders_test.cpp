/** Malformed and hostile headers about an upstream's own state have a bounded effect or none. */
#include "platform/upstreamheaders.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdawdoor;

TEST_CASE("a malformed rate limit of an upstream is ignored")
{
    for (const char *value : {"", "x", "-1", "1,5", "nan", "inf", "1e400", "0x10", "1 per second", "+1", "1e2", "1.5.2"}) {
        const net::Headers headers{{"Server-Limit", value}};
        CHECK_MESSAGE(!platform::decodeSignals(headers).rateLimit.has_value(), "accepted: '" << value << "'");
    }
    const net::Headers twice{{"server-limit", "3"}, {"Server-Limit", "x"}, {"Server-Limit", "1.5"}};
    CHECK(platform::decodeSignals(twice).rateLimit == 1.5);
    const net::Headers longValue{{"Server-Limit", std::string(100000, '9')}};
    CHECK_MESSAGE(platform::decodeSignals(longValue).rateLimit.value_or(1) > 0, "a long value was not bounded");
    CHECK(platform::decodeSignals({}) == fleet::UpstreamSignals{});
}
