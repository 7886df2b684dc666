/** Requests and attempts in progress at this instance. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/customerhistory.h"
#include "contract/policy.h"
#include "core/attemptreport.h"
#include "core/callerrequest.h"
#include "health/observation.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** A request with the contract operation that it matches. */
struct PreparedRequest {
    CallerRequest request;
    configuration::PolicyPointer customer; ///< policy at arrival; later versions do not change a running request
    const contract::ServicePolicy *service = nullptr; ///< points into `customer`
    const contract::OperationPolicy *operation = nullptr; ///< points into `customer`
    TimePoint arrived;
    TimePoint deadline; ///< the first byte of the answer must arrive before
};

/** One dispatch to an upstream. */
struct Attempt {
    AttemptId id = 0;
    RequestId request = 0;
    ServiceId service;
    UpstreamId upstream;
    TimePoint started;
    std::optional<TimePoint> answered; ///< arrival of the head of an answer that meets the contract
    health::AttemptKind kind = health::AttemptKind::Ordinary;
    bool retry = false; ///< charged to the retry budget
    bool suspectTrial = false; ///< exclusive trial of a crash suspect
    bool healthRecorded = false; ///< its outcome was reported to health
    bool abandoned = false; ///< cancelled; its answer is ignored
};

/** A request that is queued or has attempts in progress. */
struct ActiveRequest {
    PreparedRequest prepared;
    std::string key; ///< idempotency key under which this request is dispatched; empty when it has none
    int attemptsStarted = 0;
    std::vector<AttemptId> running; ///< attempts whose end was not reported yet
    std::vector<UpstreamId> excluded; ///< upstreams of earlier attempts
    std::optional<AttemptId> relaying; ///< the attempt whose answer goes to the caller
    AnswerHead relayedHead; ///< valid when relaying
    bool queued = false;
    bool callerGone = false;
    bool answered = false; ///< refused or relayed; kept until the attempts have ended
    bool mayHaveRun = false; ///< an attempt was sent that may have run
    bool crashSuspect = false; ///< may only be dispatched as an exclusive trial

    const contract::OperationPolicy &operation() const
    {
        return *prepared.operation;
    }

    RequestId id() const
    {
        return prepared.request.id;
    }
};

} // namespace jackdawdoor::core
