/** State shared by all requests of one instance. Used on its loop only. */
#pragma once

#include "base/random.h"
#include "fleet/failureshare.h"
#include "fleet/fleetmessage.h"
#include "fleet/upstreamchoice.h"
#include "fleet/upstreamtable.h"
#include "limits/callershare.h"
#include "limits/fleetretrybudget.h"
#include "limits/memoryaccount.h"
#include "limits/scarcecapacity.h"
#include "net/eventloop.h"
#include "proxy/connectionpool.h"
#include "proxy/crashdetector.h"
#include "proxy/proxymetrics.h"
#include "proxy/quotacontrol.h"
#include "proxy/upstreamprotocol.h"
#include "routing/routetable.h"
#include "routing/trafficsplit.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace jackdawdoor::proxy {

struct RequestContext {
    net::EventLoop &loop;
    UpstreamProtocol protocol;
    InstanceId self;
    DataCentreId dataCentre;
    ConnectionPool pool;
    fleet::UpstreamTable upstreams{};
    routing::RouteTablePointer routes{};
    routing::TrafficSplit split{};
    std::map<ServiceId, limits::FleetRetryBudget> budgets{};
    limits::FleetRetryLimits retryLimits{};
    std::map<ServiceId, fleet::FailureShare> failureShares{};
    std::map<ServiceId, limits::PriorityDemand> priorityDemand{};
    RandomSource random;
    ProxyMetrics metrics{};
    CrashDetector crashes;
    QuotaControl quotas;
    double floorShare = 0; ///< share of the ready upstreams that always get requests
    std::shared_ptr<limits::MemoryAccount> memory = std::make_shared<limits::MemoryAccount>(); ///< of bodies, answers and input
    std::size_t maximumCallers = limits::DescriptorShares{}.callers; ///< connections from callers
    bool stopping = false; ///< new requests are refused
    std::function<void(const fleet::FleetMessage &)> broadcast{}; ///< to all live instances
    std::function<void(const fleet::FleetMessage &)> sendToRandom{}; ///< to a random live instance
    std::function<void(const fleet::NoticeItem &)> reportEvents{}; ///< to the instances that choose upstreams, in a notice

    RequestContext(net::EventLoop &eventLoop,
                   UpstreamProtocol upstreamProtocol,
                   InstanceId id,
                   DataCentreId dataCentreId,
                   std::uint64_t seed);

    /** Retry budget of the service on this instance. */
    limits::FleetRetryBudget &budgetOf(const ServiceId &service);

    /** Counts a new request of a service. */
    void countRequest(TimePoint now, const ServiceId &service, int priority);

    /** Share of the service's ready upstreams that must get requests: all of them while many of its requests fail. */
    double floorShareOf(const ServiceId &service) const;

    /** Evaluates the shares of failed requests, and logs which services begin or cease to fail. */
    void updateFailureShares(TimePoint now);

    /** Adds the requests and failures of each service since the last call to the load report to the other instances. */
    void fillReport(fleet::LoadReport &report);

    /** Adds the requests and failures that another instance reported. */
    void addPeerReport(TimePoint now, const fleet::LoadReport &report);
};

} // namespace jackdawdoor::proxy
