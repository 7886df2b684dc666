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
/** The only status with which Retry-After says something about the upstream rather than about the request. */
constexpr int unavailable = 503;
/** A longer Retry-After counts as this long, so that a value in a wrong unit does not keep an upstream out for days. */
constexpr Duration longestRetryAfter = std::chrono::minutes{10};

/** Non-negative decimal number, or nullopt. */
std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool complete = error == std::errc{} && end == text.data() + text.size();
    return complete && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

void logUnusable(const net::Header &header)
{
    telemetry::writeLog(telemetry::LogLevel::Warning,
                        "decode answer",
                        "ignoring an unusable value",
                        {{"header", header.name}, {"value", header.value.substr(0, loggedBytes)}});
}

void decodeRateLimit(const net::Header &header, fleet::UpstreamSignals &signals)
{
    const auto limit = parseDecimal(header.value);
    if (limit) {
        signals.rateLimit = std::min(*limit, signals.rateLimit.value_or(*limit));
    } else {
        logUnusable(header);
    }
}

void decodeLeaving(const net::Header &header, fleet::UpstreamSignals &signals)
{
    if (header.value == "1") {
        signals.leaving = true;
    } else {
        logUnusable(header);
    }
}

/** A date is not accepted, since the clocks of the two machines may differ by seconds. */
void decodeRetryAfter(const net::Header &header, fleet::UpstreamSignals &signals)
{
    const auto seconds = parseDecimal(header.value);
    if (!seconds) {
        logUnusable(header);
        return;
    }
    const Duration time = fromSeconds(std::min(*seconds, toSeconds(longestRetryAfter)));
    signals.retryAfter = std::max(time, signals.retryAfter.value_or(time));
}

} // namespace

fleet::UpstreamSignals decodeSignals(int status, const net::Headers &headers)
{
    fleet::UpstreamSignals signals;
    for (const net::Header &header : headers) {
        if (net::equalsIgnoreCase(header.name, names::rateLimitHeader)) {
            decodeRateLimit(header, signals);
        } else if (net::equalsIgnoreCase(header.name, names::leavingHeader)) {
            decodeLeaving(header, signals);
        } else if (status == unavailable && net::equalsIgnoreCase(header.name, names::retryAfterHeader)) {
            decodeRetryAfter(header, signals);
        }
    }
    return signals;
}

proxy::UpstreamProtocol upstreamProtocol()
{
    return {names::headers(), decodeSignals};
}

} // namespace jackdawdoor::platform
