#include "core/servicestate.h"

#include <utility>

namespace jackdawdoor::core {

ServiceState::ServiceState(configuration::PolicyPointer customerPolicy,
                           const contract::ServicePolicy &servicePolicy,
                           std::uint64_t version,
                           const InstanceId &self)
    : customer(std::move(customerPolicy))
    , policy(&servicePolicy)
    , policyVersion(version)
    , health(servicePolicy, self, version)
    , slots(servicePolicy, version)
    , queue(static_cast<std::size_t>(servicePolicy.queueBound))
    , retries(servicePolicy.retryRatio, servicePolicy.retryBurst)
    , connections(servicePolicy)
    , suspects(idempotency::SuspectLimits{})
{
    indexUpstreams();
}

void ServiceState::adopt(TimePoint now,
                         configuration::PolicyPointer customerPolicy,
                         const contract::ServicePolicy &servicePolicy,
                         std::uint64_t version)
{
    health.adoptPolicy(now, servicePolicy, version);
    slots.adoptPolicy(servicePolicy, version);
    if (!(servicePolicy == *policy)) {
        connections = limits::ConnectionRule(servicePolicy);
        retries = limits::RetryBudget(servicePolicy.retryRatio, servicePolicy.retryBurst);
    }
    customer = std::move(customerPolicy);
    policy = &servicePolicy;
    policyVersion = version;
    indexUpstreams();
}

void ServiceState::indexUpstreams()
{
    upstreams.clear();
    for (const contract::UpstreamPolicy &upstream : policy->upstreams) {
        upstreams.emplace(upstream.id, &upstream);
    }
}

} // namespace jackdawdoor::core
