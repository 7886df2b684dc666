#include "proxy/requestcontext.h"

#include "proxy/proxylog.h"

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

void RequestContext::countRequest(TimePoint now, const ServiceId &service, int priority)
{
    priorityDemand[service].add(now, priority);
    budgetOf(service).onOriginal(now);
    failureShares[service].addRequests(now, 1);
}

double RequestContext::floorShareOf(const ServiceId &service) const
{
    const auto found = failureShares.find(service);
    return found != failureShares.end() && found->second.elevated() ? 1 : floorShare;
}

void RequestContext::updateFailureShares(TimePoint now)
{
    for (auto &[service, failures] : failureShares) {
        if (failures.update(now)) {
            logFailureShare(service, failures.share(now), failures.elevated());
        }
    }
}

void RequestContext::fillReport(fleet::LoadReport &report)
{
    for (auto &[service, budget] : budgets) {
        if (const int requests = budget.takeUnreportedRequests(); requests > 0) {
            report.demand.push_back({fleet::serviceKey(service), requests});
        }
    }
    for (auto &[service, failureShare] : failureShares) {
        if (const int failures = failureShare.takeUnreportedFailures(); failures > 0) {
            report.failures.push_back({fleet::serviceKey(service), failures});
        }
    }
}

void RequestContext::addPeerReport(TimePoint now, const fleet::LoadReport &report)
{
    for (auto &[service, budget] : budgets) {
        const std::uint32_t key = fleet::serviceKey(service);
        fleet::FailureShare &failureShare = failureShares[service];
        for (const fleet::DemandItem &item : report.demand) {
            if (item.service == key) {
                budget.onRemoteRequests(now, item.requests);
                failureShare.addRequests(now, item.requests);
            }
        }
        for (const fleet::FailureItem &item : report.failures) {
            if (item.service == key) {
                failureShare.addOtherFailures(now, item.failures);
            }
        }
    }
}

} // namespace jackdawdoor::proxy
