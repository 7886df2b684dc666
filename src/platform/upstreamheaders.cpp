#include "platform/upstreamheaders.h"

#include "platform/names.h"
#include "telemetry/log.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace jackdawdoor::platform {

namespace {

/** Bytes of an unusable value in a log line. */
constexpr std::size_t loggedBytes = 40;

/** Non-negative decimal number, or nullopt. */
std::optional<double> parseRate(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool complete = error == std::errc{} && end == text.data() + text.size();
    return complete && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

} // namespace

fleet::UpstreamSignals decodeSignals(const net::Headers &headers)
{
    fleet::UpstreamSignals signals;
    for (const net::Header &header : headers) {
        if (!net::equalsIgnoreCase(header.name, names::rateLimitHeader)) {
            continue;
        }
        const auto limit = parseRate(header.value);
        if (limit) {
            signals.rateLimit = std::min(*limit, signals.rateLimit.value_or(*limit));
        } else {
            telemetry::writeLog(telemetry::LogLevel::Warning,
                                "decode answer",
                                "ignoring a rate limit that is not a non-negative number",
                                {{"value", header.value.substr(0, loggedBytes)}});
        }
    }
    return signals;
}

proxy::UpstreamProtocol upstreamProtocol()
{
    return {names::headers(), decodeSignals};
}

} // namespace jackdawdoor::platform
