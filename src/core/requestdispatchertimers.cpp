/* RequestDispatcher: disconnected callers, deadlines and hedges. */
#include "core/httpstatus.h"
#include "core/requestdispatcher.h"

namespace jackdawdoor::core {

void RequestDispatcher::onCallerGone(TimePoint now, RequestId id)
{
    ActiveRequest *request = find(id);
    if (request == nullptr || request->callerGone) {
        return;
    }
    request->callerGone = true;
    if (request->queued) {
        ServiceState *service = m_services.find(request->prepared.service->id);
        service->queue.remove(id);
        request->queued = false;
        if (!request->mayHaveRun) {
            reportKey(now, *request, {RunEnd::NotRunOpen, {}});
        }
        request->answered = true;
    } else if (request->operation().idempotent) {
        abandonOthers(*request, 0);
        request->answered = true;
    }
    finishIfDone(id);
}

void RequestDispatcher::checkDeadline(TimePoint now, ActiveRequest &request)
{
    if (request.relaying || request.answered || now < request.prepared.deadline || request.queued) {
        return;
    }
    if (request.operation().idempotent) {
        abandonOthers(request, 0);
        refuseActive(now,
                     request,
                     {httpstatus::gatewayTimeout,
                      Disposition::Unknown,
                      RefusalStage::AttemptsExhausted,
                      true,
                      std::nullopt,
                      "no answer within the deadline"});
        return;
    }
    // The attempt continues, so that later outcome queries can be answered.
    refuseActive(now,
                 request,
                 {httpstatus::gatewayTimeout,
                  Disposition::Unknown,
                  RefusalStage::AnswerLost,
                  false,
                  std::nullopt,
                  "still running at the deadline; ask for the outcome of the key"});
    request.callerGone = true;
}

void RequestDispatcher::hedge(TimePoint now, ActiveRequest &request)
{
    const contract::OperationPolicy &operation = request.operation();
    const bool wanted = operation.idempotent && operation.hedgeDelay && !request.relaying && !request.answered && !request.queued
                        && request.running.size() == 1 && request.attemptsStarted < operation.maximumAttempts;
    if (!wanted || now - m_attempts.at(request.running.front()).started < *operation.hedgeDelay) {
        return;
    }
    ServiceState *service = m_services.find(request.prepared.service->id);
    if (service != nullptr && anyFreeSlot(now, *service) && service->retries.tryRetry()) {
        tryDispatch(now, request, true);
    }
}

void RequestDispatcher::onTick(TimePoint now)
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (auto &[id, request] : m_requests) {
        checkDeadline(now, request);
        hedge(now, request);
        ids.push_back(id);
    }
    for (const auto &[id, service] : m_services.services()) {
        for (const RequestId expired : service->queue.takeExpired(now)) {
            ActiveRequest *request = find(expired);
            request->queued = false;
            refuseActive(now,
                         *request,
                         {httpstatus::serviceUnavailable,
                          Disposition::NotRun,
                          RefusalStage::DeadlineTooShort,
                          true,
                          std::nullopt,
                          "no slot became free within the deadline"});
        }
        drainQueue(now, *service);
    }
    for (const RequestId id : ids) {
        finishIfDone(id);
    }
}

} // namespace jackdawdoor::core
