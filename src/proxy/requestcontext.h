/** What all requests of one instance share. Owned by the proxy task and used on its loop only. */
#pragma once

#include "base/random.h"
#include "fleet/crashledger.h"
#include "fleet/fleetmessage.h"
#include "fleet/upstreamboard.h"
#include "fleet/upstreamchoice.h"
#include "limits/retrybudget.h"
#include "net/eventloop.h"
#include "proxy/headernames.h"
#include "proxy/linkpool.h"
#include "proxy/proxymetrics.h"
#include "routing/routetable.h"
#include "routing/trafficsplit.h"

#include <functional>
#include <map>

namespace jackdawdoor::proxy {

/** Retry budget of the fleet, as the operator sets it. */
struct FleetRetryLimits {
    double ratio = 0.2; ///< repeats per request of a service
    double slack = 64; ///< repeats beyond the ratio, of all instances together

    bool operator==(const FleetRetryLimits &) const = default;
};

/** Until the fleet is known, an instance takes it for this large. */
constexpr int initialSharers = 64;

/** Shared state. */
struct RequestContext {
    net::EventLoop &loop;
    HeaderNames names;
    InstanceId self;
    DataCentreId dataCentre;
    LinkPool pool;
    fleet::UpstreamBoard board{};
    fleet::CrashLedger crashes{};
    routing::RouteTablePointer routes{};
    routing::TrafficSplit split{};
    std::map<ServiceId, limits::RetryBudget> budgets{};
    FleetRetryLimits retryLimits{};
    RandomSource random;
    ProxyMetrics metrics{};
    int sharers = initialSharers; ///< instances that share the slack of the retry budget
    double floorShare = 0; ///< share of the ready upstreams that get requests at all times
    bool stopping = false; ///< new requests are refused
    std::function<void(const fleet::FleetMessage &)> broadcast{}; ///< to all live instances

    RequestContext(net::EventLoop &eventLoop, HeaderNames headerNames, InstanceId id, DataCentreId place, std::uint64_t seed);

    /** Budget of the service on this instance. */
    limits::RetryBudget &budgetOf(const ServiceId &service);
};

} // namespace jackdawdoor::proxy
