#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jackdawdoor::telemetry {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;

CounterFamily &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/** Bounds in seconds around the target of 1.2 ms added latency at p99. */
prometheus::Histogram::BucketBoundaries latencyBounds()
{
    return {0.0001, 0.0002, 0.0004, 0.0008, 0.0012, 0.002, 0.004, 0.01, 0.05, 0.25, 1.0};
}

} // namespace

struct Metrics::Families {
    prometheus::Registry registry;
    CounterFamily &requests = counters(registry, "jackdawdoor_requests_total", "Requests by customer, operation and result");
    CounterFamily &attempts = counters(registry, "jackdawdoor_attempts_total", "Attempts at upstreams by customer and end");
    CounterFamily &refusals = counters(registry, "jackdawdoor_refusals_total", "Refused requests by stage");
    CounterFamily &ejections = counters(registry, "jackdawdoor_ejections_total", "Ejections of upstreams by customer");
    CounterFamily &decisions = counters(registry, "jackdawdoor_decisions_total", "Logged decisions by kind");
    prometheus::Gauge &inFlight =
        prometheus::BuildGauge().Name("jackdawdoor_in_flight").Help("Requests in progress").Register(registry).Add({});
    prometheus::Histogram &addedLatency = prometheus::BuildHistogram()
                                              .Name("jackdawdoor_added_latency_seconds")
                                              .Help("Time in this process outside of the answering attempt")
                                              .Register(registry)
                                              .Add({}, latencyBounds());
};

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(std::string_view customer, std::string_view operation, std::string_view result)
{
    m_families->requests.Add({{"customer", std::string(customer)}, {"operation", std::string(operation)}, {"result", std::string(result)}})
        .Increment();
}

void Metrics::countAttempt(std::string_view customer, std::string_view end)
{
    m_families->attempts.Add({{"customer", std::string(customer)}, {"end", std::string(end)}}).Increment();
}

void Metrics::countRefusal(std::string_view stage)
{
    m_families->refusals.Add({{"stage", std::string(stage)}}).Increment();
}

void Metrics::countEjection(std::string_view customer)
{
    m_families->ejections.Add({{"customer", std::string(customer)}}).Increment();
}

void Metrics::countDecision(std::string_view kind)
{
    m_families->decisions.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::addInFlight(int change)
{
    m_families->inFlight.Increment(change);
}

void Metrics::observeAddedLatency(Duration latency)
{
    m_families->addedLatency.Observe(toSeconds(latency));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_families->registry.Collect());
}

} // namespace jackdawdoor::telemetry
