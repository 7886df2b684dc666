/** Log lines about requests: the choice of an upstream, the end of an attempt, the final answer. */
#pragma once

#include "fleet/upstreamchoice.h"
#include "proxy/attempt.h"
#include "routing/routetable.h"

#include <string>

namespace jackdawdoor::proxy {

/** An upstream was chosen; with what decided it. */
void logChoice(const std::string &requestId,
               const ServiceId &service,
               const fleet::UpstreamChoice &choice,
               const routing::RouteTable &table,
               int attempt);

/** An attempt ended. */
void logAttempt(const std::string &requestId, const ServiceId &service, const Attempt &attempt, TimePoint now);

/** The request has its final answer. route may be nullptr; status 0: the connection was ended without one. */
void logRequest(const std::string &requestId, const routing::Route *route, int status, const char *reason, int attempts, Duration took);

} // namespace jackdawdoor::proxy
