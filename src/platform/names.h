/** Names of the platform's headers, calls, topics and settings. No other folder of src contains them. */
#pragma once

#include "proxy/headernames.h"

namespace jackdawdoor::platform::names {

/** Environment variable with the path of the settings file. */
inline constexpr const char *settingsVariable = "JACKDAWDOOR_CONFIG";

inline constexpr const char *resolveCall = "/v1/resolve";
inline constexpr const char *readinessCall = "/v1/readiness";

inline constexpr const char *operatorTopic = "keyed.op";
inline constexpr const char *configurationKey = "config";
inline constexpr const char *upstreamTopic = "keyed.servers";
/** This system's own topic, in which its instances register. */
inline constexpr const char *instanceTopic = "keyed.instances";

/** Header of the store's answers: number of its history, which rises when it is restored from a copy. */
inline constexpr const char *storeHistoryHeader = "Store-Era";

/** Header of answers: the upstream's fleet-wide rate limit in requests a second. */
inline constexpr const char *rateLimitHeader = "Server-Limit";
/** Header of answers: the upstream's process is about to end. */
inline constexpr const char *leavingHeader = "Server-Leaving";
/** Header of rejections: for how many seconds the upstream wants no request from this instance. */
inline constexpr const char *retryAfterHeader = "Retry-After";

/** Headers of requests and answers. */
inline proxy::HeaderNames headers()
{
    return {"X-Jackdawdoor-Request-Id",
            "X-Jackdawdoor-Deadline-Ms",
            // Signature of the upstream over its answer; it does not authenticate callers.
            "X-Jackdawdoor-Response-Signature",
            // "Instance" in this header name means an upstream.
            "X-Jackdawdoor-Intended-Instance",
            "X-Jackdawdoor-Not-Executed",
            "X-Jackdawdoor-Tenant"};
}

} // namespace jackdawdoor::platform::names
