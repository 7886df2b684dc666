#include "proxy/requestcontext.h"

namespace jackdawdoor::proxy {

RequestContext::RequestContext(net::EventLoop &eventLoop,
                               UpstreamProtocol upstreamProtocol,
                               InstanceId id,
                               DataCentreId dataCentreId,
                               std::uint64_t seed)
    : loop(eventLoop)
    , protocol(std::move(upstreamProtocol))
    , self(std::move(id))
    , dataCentre(std::move(dataCentreId))
    , pool(eventLoop, protocol.names.requestId)
    , random(seed)
    , crashes(loop, random, metrics)
    , quotas(loop, metrics, seed + 1)
{
    crashes.setHooks({[this](const fleet::FleetMessage &message) {
                          broadcast(message);
                      },
                      [this](const fleet::FleetMessage &message) {
                          sendToRandom(message);
                      }});
}

limits::FleetRetryBudget &RequestContext::budgetOf(const ServiceId &service)
{
    return budgets.try_emplace(service, retryLimits).first->second;
}

std::vector<fleet::DemandItem> RequestContext::takeDemand()
{
    std::vector<fleet::DemandItem> demand;
    for (auto &[service, budget] : budgets) {
        const int requests = budget.takeUnreportedRequests();
        if (requests > 0) {
            demand.push_back({fleet::serviceKey(service), requests});
        }
    }
    return demand;
}

void RequestContext::addPeerDemand(TimePoint now, const std::vector<fleet::DemandItem> &demand)
{
    for (auto &[service, budget] : budgets) {
        for (const fleet::DemandItem &item : demand) {
            if (item.service == fleet::serviceKey(service)) {
                budget.onRemoteRequests(now, item.requests);
            }
        }
    }
}

} // namespace jackdawdoor::proxy
