/** Log lines about requests: the choice of an upstream, the end of an attempt, the final answer. */
#pragma once

#include "fleet/requestfingerprint.h"
#include "fleet/upstreamchoice.h"
#include "proxy/attempt.h"
#include "routing/routetable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Logs the choice of an upstream and the values that decided it. */
void logChoice(const std::string &requestId,
               const ServiceId &service,
               const fleet::UpstreamChoice &choice,
               const routing::RouteTable &table,
               int attempt);

/** Logs the end of an attempt. fingerprint: of the request, logged if the connection ended without an answer. */
void logAttempt(const std::string &requestId,
                const ServiceId &service,
                const Attempt &attempt,
                const fleet::RequestFingerprint &fingerprint,
                TimePoint now);

/** Logs that a service has begun or ceased to fail. share: of its recent requests, at all instances, that failed. */
void logFailureShare(const ServiceId &service, double share, bool elevated);

/** Logs that an upstream announces a new or changed rate limit, or none any more (nullopt). */
void logRateLimit(const std::string &requestId,
                  const ServiceId &service,
                  const fleet::UpstreamEntry &upstream,
                  const std::optional<double> &requestsPerSecond);

/** Logs that an upstream has announced that it leaves. source: the request whose answer said so, or the instance that told. */
void logLeaving(const fleet::UpstreamEntry &upstream, const std::string &source);

/** Logs that an upstream wants no requests from this instance for that time. */
void logRest(const std::string &requestId, const fleet::UpstreamEntry &upstream, Duration rest);

/** Logs that an upstream that left is gone, or that its rest is over. */
void logAnnouncementEnd(const fleet::AnnouncementEnd &end);

/** Logs that a request probably crashed upstreams. crashes: of that request so far. source: who found it, "own" or an
 * instance. */
void logCrash(std::uint64_t fingerprint, const std::vector<std::uint32_t> &upstreams, std::size_t crashes, const std::string &source);

/** Logs that a request is not sent because it crashes upstreams. */
void logCrashRefusal(const std::string &requestId, const fleet::RequestFingerprint &fingerprint, std::size_t crashes);

/** Logs how full the memory account and the connections are, and what the limits ended since the last such line. */
void logLimited(const limits::MemoryAccount &account,
                std::size_t callers,
                std::size_t maximumCallers,
                const std::map<std::string, int> &ended);

/** Logs the final answer of a request. route may be nullptr; status 0 means that the connection ended without an answer. */
void logRequest(const std::string &requestId, const routing::Route *route, int status, const char *reason, int attempts, Duration took);

} // namespace jackdawdoor::proxy
