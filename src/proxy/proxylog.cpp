#include "proxy/proxylog.h"

#include "telemetry/log.h"

#include <cinttypes>
#include <cstdio>

namespace jackdawdoor::proxy {

namespace {

using telemetry::LogLevel;

std::string decimals(double value)
{
    char text[32];
    const int length = std::snprintf(text, sizeof(text), "%.3f", value);
    return {text, static_cast<std::size_t>(length)};
}

/** Lower-case hexadecimal text of fixed width. */
std::string hexadecimal(std::uint64_t value)
{
    char text[17];
    const int length = std::snprintf(text, sizeof(text), "%016" PRIx64, value);
    return {text, static_cast<std::size_t>(length)};
}

/** The identities under which crashes by the request are logged. */
std::string identities(const fleet::RequestFingerprint &fingerprint)
{
    std::string text;
    for (const std::uint64_t identity : fingerprint.identities()) {
        text += (text.empty() ? "" : ",") + hexadecimal(identity);
    }
    return text;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void logChoice(const std::string &requestId,
               const ServiceId &service,
               const fleet::UpstreamChoice &choice,
               const routing::RouteTable &table,
               int attempt)
{
    const fleet::UpstreamRecord &record = *choice.upstream;
    telemetry::LogFields fields{{"request", requestId},
                                {"service", service.value},
                                {"upstream", record.entry.id.value},
                                {"belief", decimals(choice.grayProbability)},
                                {"cost", decimals(choice.cost)},
                                {"in-flight", std::to_string(record.ownInFlight) + "+" + std::to_string(record.otherInFlight)},
                                {"ready", std::to_string(choice.ready)},
                                {"configuration", std::to_string(table.version())},
                                {"attempt", std::to_string(attempt)}};
    const fleet::FleetRateLimit &limit = record.announced.rateLimit;
    if (limit.active()) {
        fields.emplace_back("rate-limit", decimals(limit.requestsPerSecond()));
    }
    telemetry::writeLog(LogLevel::Info, "choose upstream", fleet::reasonName(choice.reason), fields);
}

void logFailureShare(const ServiceId &service, double share, bool elevated)
{
    telemetry::writeLog(LogLevel::Info,
                        "service failures",
                        elevated ? "elevated; all ready upstreams are kept in use" : "no longer elevated",
                        {{"service", service.value}, {"share", decimals(share)}});
}

void logRateLimit(const std::string &requestId,
                  const ServiceId &service,
                  const fleet::UpstreamEntry &upstream,
                  const std::optional<double> &requestsPerSecond)
{
    telemetry::writeLog(LogLevel::Info,
                        "upstream rate limit",
                        requestsPerSecond ? "announced" : "ended",
                        {{"request", requestId},
                         {"service", service.value},
                         {"upstream", upstream.id.value},
                         {"rate-limit", requestsPerSecond ? decimals(*requestsPerSecond) : ""}});
}

void logLeaving(const fleet::UpstreamEntry &upstream, const std::string &source)
{
    telemetry::writeLog(LogLevel::Info,
                        "upstream leaves",
                        "it gets no more requests",
                        {{"source", source},
                         {"service", upstream.service.value},
                         {"upstream", upstream.id.value},
                         {"incarnation", std::to_string(upstream.incarnation)},
                         {"entry", upstream.status == fleet::UpstreamStatus::Ready ? "ready" : "draining"}});
}

void logRest(const std::string &requestId, const fleet::UpstreamEntry &upstream, Duration rest)
{
    telemetry::writeLog(LogLevel::Info,
                        "upstream rests",
                        "it gets no requests from this instance",
                        {{"request", requestId},
                         {"service", upstream.service.value},
                         {"upstream", upstream.id.value},
                         {"incarnation", std::to_string(upstream.incarnation)},
                         {"ms", milliseconds(rest)}});
}

void logAnnouncementEnd(const fleet::AnnouncementEnd &end)
{
    const bool left = end.what == fleet::AnnouncementEnd::What::Leaving;
    telemetry::writeLog(LogLevel::Info,
                        left ? "upstream leaves" : "upstream rests",
                        left ? "its entry is gone" : "the rest is over",
                        {{"service", end.upstream.service.value},
                         {"upstream", end.upstream.id.value},
                         {"incarnation", std::to_string(end.upstream.incarnation)},
                         {"age-ms", milliseconds(end.age)}});
}

void logAttempt(const std::string &requestId,
                const ServiceId &service,
                const Attempt &attempt,
                const fleet::RequestFingerprint &fingerprint,
                TimePoint now)
{
    const AttemptResult &result = attempt.result();
    telemetry::LogFields fields{{"request", requestId},
                                {"service", service.value},
                                {"upstream", attempt.upstream().id.value},
                                {"status", std::to_string(result.head.status)},
                                {"new-connection", result.newConnection ? "yes" : "no"},
                                {"ms", milliseconds(attempt.age(now))}};
    if (result.signals.rateLimit) {
        fields.emplace_back("rate-limit", decimals(*result.signals.rateLimit));
    }
    if (result.signals.leaving) {
        fields.emplace_back("leaving", "yes");
    }
    if (result.signals.retryAfter) {
        fields.emplace_back("retry-after-ms", milliseconds(*result.signals.retryAfter));
    }
    if (result.classification.end == routing::AttemptEnd::Broken) {
        fields.emplace_back("fingerprint", identities(fingerprint));
    }
    telemetry::writeLog(LogLevel::Info, "end attempt", result.classification.reason, fields);
}

void logCrash(std::uint64_t fingerprint, const std::vector<std::uint32_t> &upstreams, std::size_t crashes, const std::string &source)
{
    std::string keys;
    for (const std::uint32_t upstream : upstreams) {
        keys += (keys.empty() ? "" : ",") + std::to_string(upstream);
    }
    telemetry::writeLog(
        LogLevel::Warning,
        "record crash",
        "an upstream ended while it ran this request",
        {{"fingerprint", hexadecimal(fingerprint)}, {"upstream-keys", keys}, {"crashes", std::to_string(crashes)}, {"source", source}});
}

void logCrashRefusal(const std::string &requestId, const fleet::RequestFingerprint &fingerprint, std::size_t crashes)
{
    telemetry::writeLog(LogLevel::Warning,
                        "refuse request",
                        "it crashes upstreams",
                        {{"request", requestId}, {"fingerprint", identities(fingerprint)}, {"crashes", std::to_string(crashes)}});
}

void logLimited(const limits::MemoryAccount &account,
                std::size_t callers,
                std::size_t maximumCallers,
                const std::map<std::string, int> &ended)
{
    using limits::MemoryKind;
    telemetry::LogFields fields{{"memory", std::to_string(account.used())},
                                {"memory-limit", std::to_string(account.limits().total)},
                                {"callers", std::to_string(callers)},
                                {"callers-limit", std::to_string(maximumCallers)}};
    for (const MemoryKind kind : {MemoryKind::RequestBody, MemoryKind::Answer, MemoryKind::Input}) {
        fields.emplace_back(limits::memoryKindName(kind), std::to_string(account.used(kind)));
    }
    for (const auto &[reason, count] : ended) {
        fields.emplace_back("reason", reason + " " + std::to_string(count));
    }
    telemetry::writeLog(LogLevel::Warning, "apply limits", "requests or connections were ended", fields);
}

void logRequest(const std::string &requestId, const routing::Route *route, int status, const char *reason, int attempts, Duration took)
{
    telemetry::writeLog(LogLevel::Info,
                        "answer request",
                        reason,
                        {{"request", requestId},
                         {"route", route == nullptr ? "" : route->name},
                         {"status", std::to_string(status)},
                         {"attempts", std::to_string(attempts)},
                         {"ms", milliseconds(took)}});
}

} // namespace jackdawdoor::proxy
