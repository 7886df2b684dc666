/** A request while this instance works on it. */
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

/** A request that was matched with its operation. */
struct PreparedRequest {
    CallerRequest request;
    configuration::PolicyPointer customer; ///< policy at arrival; later versions do not change a running request
    const contract::ServicePolicy *service = nullptr; ///< points into `customer`
    const contract::OperationPolicy *operation = nullptr; ///< points into `customer`
    TimePoint arrived;
    TimePoint deadline; ///< the first byte of the answer is of use until then
};

/** One dispatch to an upstream. */
struct Attempt {
    AttemptId id = 0;
    RequestId request = 0;
    ServiceId service;
    UpstreamId upstream;
    TimePoint started;
    std::optional<TimePoint> answered; ///< when a right answer's head arrived
    health::AttemptKind kind = health::AttemptKind::Ordinary;
    bool retry = false; ///< paid for from the retry budget
    bool suspectTrial = false; ///< exclusive trial of a crash suspect
    bool healthRecorded = false; ///< health has its outcome
    bool abandoned = false; ///< its answer is no longer wanted
};

/** A request that is queued or has attempts. */
struct ActiveRequest {
    PreparedRequest prepared;
    std::string key; ///< text of the idempotency key that this request dispatches; empty when it has none
    int attemptsStarted = 0;
    std::vector<AttemptId> running; ///< attempts whose end was not reported
    std::vector<UpstreamId> excluded; ///< upstreams of earlier attempts
    std::optional<AttemptId> relaying; ///< the attempt whose answer goes to the caller
    AnswerHead relayedHead; ///< valid when relaying
    bool queued = false;
    bool callerGone = false;
    bool answered = false; ///< refused or relayed; kept until the attempts have ended
    bool mayHaveRun = false; ///< some attempt was sent that is not known not to have run
    bool crashSuspect = false; ///< may only be run as an exclusive trial

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
