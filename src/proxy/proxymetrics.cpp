#include "proxy/proxymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jackdawdoor::proxy {

namespace {

prometheus::Family<prometheus::Counter> &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

/** Upper bounds in seconds. */
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2, 4, 8};

} // namespace

struct ProxyMetrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = counter(registry, "jackdawdoor_requests_total", "Requests by outcome");
    prometheus::Family<prometheus::Counter> &authenticationFailures =
        counter(registry, "jackdawdoor_authentication_failures_total", "Requests without a valid API key by reason");
    prometheus::Family<prometheus::Counter> &attempts = counter(registry, "jackdawdoor_attempts_total", "Attempts by service and end");
    prometheus::Family<prometheus::Counter> &crashes =
        counter(registry, "jackdawdoor_upstream_crashes_total", "Crashes of upstreams by a request, by source of the finding");
    prometheus::Family<prometheus::Counter> &rateLimitChanges =
        counter(registry, "jackdawdoor_upstream_rate_limit_changes_total", "Changes of the rate limits that upstreams announce");
    prometheus::Family<prometheus::Counter> &leaving =
        counter(registry, "jackdawdoor_upstreams_leaving_total", "Upstreams that announced in an answer that they leave, by source");
    prometheus::Counter &rests =
        counter(registry, "jackdawdoor_upstream_rests_total", "Rejections with a Retry-After by upstreams").Add({});
    prometheus::Counter &storeRestorations =
        counter(registry, "jackdawdoor_store_restorations_total", "Restorations of the store from a copy").Add({});
    prometheus::Family<prometheus::Counter> &quotaRequests =
        counter(registry, "jackdawdoor_quota_requests_total", "Requests of organisations with a quota by outcome");
    prometheus::Counter &invalidQuotaItems =
        counter(registry, "jackdawdoor_quota_invalid_items_total", "Invalid items in quota reports of other instances").Add({});
    prometheus::Gauge &quotaOrganisations = prometheus::BuildGauge()
                                                .Name("jackdawdoor_quota_organisations")
                                                .Help("Organisations whose quota is in use")
                                                .Register(registry)
                                                .Add({});
    prometheus::Gauge &quotaVisibleShare = prometheus::BuildGauge()
                                               .Name("jackdawdoor_quota_visible_share")
                                               .Help("Part of the instances with quota reports that are heard from")
                                               .Register(registry)
                                               .Add({});
    prometheus::Family<prometheus::Counter> &storeCalls =
        counter(registry, "jackdawdoor_store_calls_total", "Calls to the store by result");
    prometheus::Histogram &latency = prometheus::BuildHistogram()
                                         .Name("jackdawdoor_request_seconds")
                                         .Help("Time from the first byte of a request to its final answer")
                                         .Register(registry)
                                         .Add({}, latencyBuckets);
    prometheus::Family<prometheus::Counter> &limited =
        counter(registry, "jackdawdoor_limited_total", "Requests, answers and connections that ended because of a limit, by reason");
    prometheus::Family<prometheus::Gauge> &memory =
        gauge(registry, "jackdawdoor_memory_bytes", "Memory of bodies, answers and input, by kind");
    prometheus::Gauge &memoryLimit = gauge(registry, "jackdawdoor_memory_limit_bytes", "Limit of that memory").Add({});
    prometheus::Gauge &callers = gauge(registry, "jackdawdoor_caller_connections", "Connections from callers").Add({});
    prometheus::Gauge &callersLimit = gauge(registry, "jackdawdoor_caller_connections_limit", "Limit of these connections").Add({});
    prometheus::Gauge &dropped =
        prometheus::BuildGauge().Name("jackdawdoor_dropped_log_lines").Help("Log lines dropped").Register(registry).Add({});
};

ProxyMetrics::ProxyMetrics()
    : m_families(std::make_unique<Families>())
{
}

ProxyMetrics::~ProxyMetrics() = default;

void ProxyMetrics::countRequest(std::string_view outcome, Duration took)
{
    m_families->requests.Add({{"outcome", std::string(outcome)}}).Increment();
    m_families->latency.Observe(toSeconds(took));
}

void ProxyMetrics::countAuthenticationFailure(std::string_view reason)
{
    m_families->authenticationFailures.Add({{"reason", std::string(reason)}}).Increment();
}

void ProxyMetrics::countAttempt(std::string_view service, std::string_view reason)
{
    m_families->attempts.Add({{"service", std::string(service)}, {"end", std::string(reason)}}).Increment();
}

void ProxyMetrics::countCrash(std::string_view source)
{
    m_families->crashes.Add({{"source", std::string(source)}}).Increment();
}

void ProxyMetrics::countRateLimitChange(std::string_view change)
{
    m_families->rateLimitChanges.Add({{"change", std::string(change)}}).Increment();
}

void ProxyMetrics::countLeaving(std::string_view source)
{
    m_families->leaving.Add({{"source", std::string(source)}}).Increment();
}

void ProxyMetrics::countRest()
{
    m_families->rests.Increment();
}

void ProxyMetrics::countStoreRestoration()
{
    m_families->storeRestorations.Increment();
}

void ProxyMetrics::countQuota(std::string_view outcome)
{
    m_families->quotaRequests.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ProxyMetrics::countInvalidQuotaItems(int items)
{
    m_families->invalidQuotaItems.Increment(items);
}

void ProxyMetrics::setQuotaState(std::size_t organisations, double visibleShare)
{
    m_families->quotaOrganisations.Set(static_cast<double>(organisations));
    m_families->quotaVisibleShare.Set(visibleShare);
}

void ProxyMetrics::countStoreCall(std::string_view call, bool succeeded)
{
    m_families->storeCalls.Add({{"call", std::string(call)}, {"result", succeeded ? "answered" : "failed"}}).Increment();
}

void ProxyMetrics::setDroppedLines(std::uint64_t lines)
{
    m_families->dropped.Set(static_cast<double>(lines));
}

void ProxyMetrics::countLimited(std::string_view reason)
{
    m_families->limited.Add({{"reason", std::string(reason)}}).Increment();
}

void ProxyMetrics::setMemory(const limits::MemoryAccount &account)
{
    for (const auto kind : {limits::MemoryKind::RequestBody, limits::MemoryKind::Answer, limits::MemoryKind::Input}) {
        m_families->memory.Add({{"kind", limits::memoryKindName(kind)}}).Set(static_cast<double>(account.used(kind)));
    }
    m_families->memoryLimit.Set(static_cast<double>(account.limits().total));
}

void ProxyMetrics::setCallers(std::size_t connections, std::size_t limit)
{
    m_families->callers.Set(static_cast<double>(connections));
    m_families->callersLimit.Set(static_cast<double>(limit));
}

std::string ProxyMetrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_families->registry.Collect());
}

} // namespace jackdawdoor::proxy
