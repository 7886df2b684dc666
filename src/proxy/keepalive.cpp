#include "proxy/keepalive.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

namespace {

/** Subtracted from the upstream's Keep-Alive timeout, so that this side closes first. */
constexpr Duration idleMargin = std::chrono::milliseconds{1500};

/** Longer stated timeouts are shortened to a day, so that they can be added to a time point without overflow. */
constexpr std::uint64_t maximumKeepAliveSeconds = 24ULL * 60 * 60;

} // namespace

std::optional<Duration> keepAliveLimit(const net::Headers &headers)
{
    constexpr std::string_view key = "timeout=";
    const std::string value = net::findHeader(headers, "Keep-Alive");
    for (const std::string_view part : net::splitTrimmed(value, ',')) {
        if (part.substr(0, key.size()) == key) {
            if (const auto seconds = net::parseNumber(part.substr(key.size()))) {
                const Duration timeout = std::chrono::seconds{std::min(*seconds, maximumKeepAliveSeconds)};
                return std::max(Duration::zero(), timeout - idleMargin);
            }
        }
    }
    return std::nullopt;
}

} // namespace jackdawdoor::proxy
