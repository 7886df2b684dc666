/* Instance: admission of requests. */
#include "core/instance.h"
#include "core/matchoperation.h"

#include <algorithm>

namespace jackdawdoor::core {

namespace {

Refusal stoppingRefusal()
{
    return {503, Disposition::NotRun, RefusalStage::Stopping, true, Duration{0}, "the instance is stopping; use another address"};
}

} // namespace

std::optional<Refusal> Instance::prepare(TimePoint now, const CallerRequest &request, PreparedRequest &prepared) const
{
    prepared.request = request;
    prepared.arrived = now;
    prepared.customer = m_configuration.policyOf(customerOf(request.service));
    if (!prepared.customer) {
        const bool ready = m_configuration.ready();
        return Refusal{ready ? 404 : 503,
                       Disposition::NotRun,
                       RefusalStage::NoContract,
                       !ready,
                       std::nullopt,
                       "no contract of this customer is in force here"};
    }
    prepared.service = prepared.customer->findService(request.service);
    prepared.operation = prepared.service == nullptr ? nullptr : matchOperation(*prepared.service, request.method, request.path);
    if (prepared.operation == nullptr) {
        return Refusal{404, Disposition::NotRun, RefusalStage::NoOperation, false, std::nullopt, "the contract has no such operation"};
    }
    if (request.bodyBytes > prepared.operation->maximumRequestBytes) {
        return Refusal{
            413, Disposition::NotRun, RefusalStage::TooLarge, false, std::nullopt, "the body is larger than the contract allows"};
    }
    const Duration allowed =
        request.deadline > Duration{0} ? std::min(request.deadline, prepared.operation->deadline) : prepared.operation->deadline;
    prepared.deadline = now + allowed;
    if (m_membership.superseded()) {
        return Refusal{
            503, Disposition::NotRun, RefusalStage::Stopping, true, Duration{0}, "a later process of this instance has taken over"};
    }
    return refuseNonIdempotent(now, prepared);
}

std::optional<Refusal> Instance::refuseNonIdempotent(TimePoint now, const PreparedRequest &prepared) const
{
    const bool hasKey = !prepared.request.key.empty();
    if (m_stopping && !hasKey) {
        return stoppingRefusal();
    }
    if (prepared.operation->idempotent) {
        return std::nullopt;
    }
    if (!hasKey && prepared.operation->keyRequired) {
        return Refusal{428,
                       Disposition::NotRun,
                       RefusalStage::KeyRequired,
                       false,
                       std::nullopt,
                       "send an Idempotency-Key made from the ticket of a placement answer"};
    }
    if (m_membership.rejoiningAfterPause(now)) {
        return Refusal{503,
                       Disposition::NotRun,
                       RefusalStage::Stopping,
                       true,
                       Duration{0},
                       "the instance was paused and is rejoining; use another address"};
    }
    return std::nullopt;
}

} // namespace jackdawdoor::core
