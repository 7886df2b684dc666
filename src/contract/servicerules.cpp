#include "contract/servicerules.h"

#include "contract/derivationscope.h"
#include "contract/faultlist.h"
#include "contract/healthrules.h"
#include "contract/operationrules.h"
#include "contract/policyconstants.h"
#include "contract/units.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jackdawdoor::contract {

namespace {

std::int64_t totalSlots(const Service &service)
{
    std::int64_t slots = 0;
    for (const Upstream &upstream : service.upstreams) {
        slots += upstream.slots;
    }
    return slots;
}

int largestSlots(const Service &service)
{
    int slots = 1;
    for (const Upstream &upstream : service.upstreams) {
        slots = std::max(slots, upstream.slots);
    }
    return slots;
}

// The longest usefulWithin of the operations, or of the non-idempotent ones only; zero when there are none.
Duration longestUsefulWithin(const Service &service, bool onlyNonIdempotent)
{
    Duration longest{};
    for (const Operation &operation : service.operations) {
        if (!onlyNonIdempotent || !operation.idempotent) {
            longest = std::max(longest, operation.usefulWithin);
        }
    }
    return longest;
}

int computeHolders(const Service &service)
{
    const std::int64_t slots = totalSlots(service);
    const auto forRate = static_cast<std::int64_t>(std::ceil(service.peakRequestsPerSecond / requestsPerSecondPerInstance));
    const std::int64_t forSlots = (slots + concurrentRequestsPerInstance - 1) / concurrentRequestsPerInstance;
    const std::int64_t wanted = std::min(std::max(forRate, forSlots), slots);
    return static_cast<int>(std::max<std::int64_t>(wanted, minimumHolders));
}

int computeQueueBound(const Service &service, int holders)
{
    const double rate = service.peakRequestsPerSecond / holders;
    const double arriving = std::ceil(rate * toSeconds(longestUsefulWithin(service, false)) / 2);
    const double slotsOfHolder = std::ceil(static_cast<double>(totalSlots(service)) / holders);
    return static_cast<int>(std::min<double>(std::max({arriving, slotsOfHolder, 1.0}), maximumQueueBound));
}

void deriveLoad(const Service &service, DerivationScope &scope, ServicePolicy &policy)
{
    policy.peakRequestsPerSecond = scope.derive({"peakRequestsPerSecond", "requests/s", "as stated", {scope.key("peakRequestsPerSecond")}},
                                                service.peakRequestsPerSecond);
    policy.holders = scope.derive({"holders",
                                   "instances",
                                   absl::StrCat("one for each ",
                                                requestsPerSecondPerInstance,
                                                " requests/s at peak and each ",
                                                concurrentRequestsPerInstance,
                                                " slots, at most one for each slot, and at least ",
                                                minimumHolders,
                                                " so that one can fail"),
                                   {scope.key("peakRequestsPerSecond"), scope.key("upstreams")}},
                                  computeHolders(service));
    policy.queueBound = scope.derive({"queueBound",
                                      "requests",
                                      absl::StrCat("requests that reach one holder at peak rate in half of the longest usefulWithin, which "
                                                   "leaves the other half to run; at least the holder's share of the slots, at most ",
                                                   maximumQueueBound),
                                      {scope.key("peakRequestsPerSecond"), scope.key("upstreams"), scope.key("operations")}},
                                     computeQueueBound(service, policy.holders));
}

void deriveRetries(const Service &service, DerivationScope &scope, ServicePolicy &policy)
{
    policy.retryRatio = scope.derive({"retryRatio",
                                      "retries for each request",
                                      "the same for all services: limits the load in a full outage to 1.1 times the requests",
                                      {scope.keyPath()}},
                                     retryRatio);
    policy.retryBurst =
        scope.derive({"retryBurst",
                      "retries",
                      absl::StrCat("slots of the largest upstream, whose requests fail together when it does, at most ", maximumRetryBurst),
                      {scope.key("upstreams")}},
                     static_cast<double>(std::min(largestSlots(service), maximumRetryBurst)));
}

void deriveFixedDurations(DerivationScope &scope, ServicePolicy &policy)
{
    policy.slotLeaseTerm = scope.derive({"slotLeaseTerm",
                                         "ms",
                                         "the same for all services: the slots of a failed holder are free again after this time",
                                         {scope.keyPath()}},
                                        slotLeaseTerm);
    policy.connectionProofAge =
        scope.derive({"connectionProofAge",
                      "ms",
                      "the same for all services: non-idempotent requests need a connection with an answer within this time",
                      {scope.keyPath()}},
                     connectionProofAge);
    policy.drainTime = scope.derive(
        {"drainTime", "ms", "the same for all services: a leaving upstream gets no new requests after this time", {scope.keyPath()}},
        drainTime);
    policy.placementHold = scope.derive(
        {"placementHold",
         "ms",
         "the same for all services: callers query their placement again after this time; a stale one costs one forwarded request",
         {scope.keyPath()}},
        placementHold);
}

void deriveTicketLifetime(const Service &service, DerivationScope &scope, ServicePolicy &policy)
{
    const Duration sends = sendsPerTicketLifetime * longestUsefulWithin(service, true);
    policy.ticketLifetime =
        scope.derive({"ticketLifetime",
                      "ms",
                      absl::StrCat("the placement hold and ",
                                   sendsPerTicketLifetime,
                                   " times the longest usefulWithin of non-idempotent operations, for a request and its "
                                   "resends; at least ",
                                   formatDuration(minimumTicketLifetime)),
                      {scope.key("operations")}},
                     std::max(policy.placementHold + sends, minimumTicketLifetime));
}

std::vector<UpstreamPolicy> copyUpstreams(const ServiceId &id, const Service &service)
{
    std::vector<UpstreamPolicy> upstreams;
    upstreams.reserve(service.upstreams.size());
    for (const Upstream &upstream : service.upstreams) {
        upstreams.push_back(
            {makeUpstreamId(id, upstream.name), upstream.address, upstream.dataCentre, upstream.slots, upstream.connections});
    }
    return upstreams;
}

} // namespace

ServicePolicy deriveService(const Contract &contract, std::size_t index, std::vector<Explanation> &explanations)
{
    const Service &service = contract.services[index];
    ServicePolicy policy;
    policy.customer = CustomerId{contract.customer};
    policy.id = makeServiceId(policy.customer, service.name);
    policy.upstreams = copyUpstreams(policy.id, service);
    const std::string keyPath = joinIndex("services", index);
    DerivationScope scope(policy.id.value, keyPath, contract.lines, explanations);
    deriveLoad(service, scope, policy);
    policy.health = deriveHealth(contract.weight, service, scope);
    deriveRetries(service, scope, policy);
    deriveFixedDurations(scope, policy);
    deriveTicketLifetime(service, scope, policy);
    for (std::size_t operation = 0; operation < service.operations.size(); ++operation) {
        const OperationId id = makeOperationId(policy.id, service.operations[operation].name);
        DerivationScope operationScope(id.value, joinIndex(joinKey(keyPath, "operations"), operation), contract.lines, explanations);
        policy.operations.push_back(deriveOperation(id, service.operations[operation], operationScope));
    }
    return policy;
}

} // namespace jackdawdoor::contract
