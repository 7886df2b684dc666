/** Log lines about requests: the choice of an upstream, the end of an attempt, the final answer. */
#pragma once

#include "fleet/upstreamchoice.h"
#include "proxy/attempt.h"
#include "routing/routetable.h"

#include <string>

namespace jackdawdoor::proxy {

/** Logs the choice of an upstream and the values that decided it. */
void logChoice(const std::string &requestId,
               const ServiceId &service,
               const fleet::UpstreamChoice &choice,
               const routing::RouteTable &table,
               int attempt);

/** Logs the end of an attempt. */
void logAttempt(const std::string &requestId, const ServiceId &service, const Attempt &attempt, TimePoint now);

/** Logs the final answer of a request. route may be nullptr; status 0 means that the connection ended without an answer. */
void logRequest(const std::string &requestId, const routing::Route *route, int status, const char *reason, int attempts, Duration took);

} // namespace jackdawdoor::proxy
