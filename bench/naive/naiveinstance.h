/** State of one instance under the naive policy. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "core/callerrequest.h"
#include "fakes/virtualfleet.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::naive {

/** State of an upstream in the view of one instance. */
struct NaiveUpstream {
    int errorsInRow = 0;
    int running = 0;
    TimePoint ejectedUntil;
};

/** Request in progress. */
struct NaiveRequest {
    core::CallerRequest request;
    const contract::ServicePolicy *service = nullptr;
    const contract::OperationPolicy *operation = nullptr;
    fakes::VirtualFleet::AnswerHandler handler;
    TimePoint arrived;
    int attempts = 0;
    bool mayHaveRun = false;
};

/** State of one instance. */
struct NaiveInstance {
    std::map<UpstreamId, NaiveUpstream> upstreams;
    std::map<core::RequestId, NaiveRequest> requests;
    std::map<std::string, fakes::CallerAnswer> answers; ///< stored answers by idempotency key
    std::uint64_t generation = 0;
    TimePoint pausedUntil;
    bool up = true;
};

} // namespace jackdawdoor::naive
