/** Names that the users' platform gives to headers, calls, topics and settings. Nothing outside this folder knows them. */
#pragma once

#include "proxy/headernames.h"

namespace jackdawdoor::platform::names {

/** Variable that holds the path of the settings file. */
inline constexpr const char *settingsVariable = "JACKDAWDOOR_CONFIG";

inline constexpr const char *resolveCall = "/v1/resolve";
inline constexpr const char *readinessCall = "/v1/readiness";

inline constexpr const char *operatorTopic = "keyed.op";
inline constexpr const char *configurationKey = "config";
inline constexpr const char *upstreamTopic = "keyed.servers";
/** Topic of this system's own: the instances that have started. */
inline constexpr const char *instanceTopic = "keyed.instances";

/** Headers of requests and answers. */
inline proxy::HeaderNames headers()
{
    return {"X-Jackdawdoor-Request-Id",
            "X-Jackdawdoor-Deadline-Ms",
            // The upstream signs its answer; the signature says nothing about a caller.
            "X-Jackdawdoor-Response-Signature",
            // An "instance" on the wire is one of our upstreams.
            "X-Jackdawdoor-Intended-Instance",
            "X-Jackdawdoor-Not-Executed"};
}

} // namespace jackdawdoor::platform::names
