/** State of one service at an instance that handles its requests. */
#pragma once

#include "base/ids.h"
#include "configuration/customerhistory.h"
#include "contract/policy.h"
#include "health/localhealth.h"
#include "idempotency/crashsuspects.h"
#include "limits/connectionrule.h"
#include "limits/requestqueue.h"
#include "limits/retrybudget.h"
#include "limits/retryhint.h"
#include "limits/slotholder.h"

#include <absl/container/flat_hash_map.h>

namespace jackdawdoor::core {

/** Health, limits and queue of one service on this instance. */
struct ServiceState {
    ServiceState(configuration::PolicyPointer customerPolicy,
                 const contract::ServicePolicy &servicePolicy,
                 std::uint64_t version,
                 const InstanceId &self);

    /** Switches to a later version of the contract; evidence, connection rule and retry budget are reset
     * only where the service itself changed. */
    void
    adopt(TimePoint now, configuration::PolicyPointer customerPolicy, const contract::ServicePolicy &servicePolicy, std::uint64_t version);

    configuration::PolicyPointer customer; ///< keeps `policy` alive
    const contract::ServicePolicy *policy;
    std::uint64_t policyVersion;
    health::LocalHealth health;
    limits::SlotHolder slots;
    limits::RequestQueue queue;
    limits::RetryBudget retries;
    limits::RetryHint retryHint;
    limits::ConnectionRule connections;
    idempotency::CrashSuspects suspects;
    absl::flat_hash_map<UpstreamId, TimePoint> lastCrash; ///< time of the first reset that the latest crash of each upstream caused
    absl::flat_hash_map<UpstreamId, const contract::UpstreamPolicy *> upstreams; ///< by id; points into `policy`
    int holders = 1; ///< instances that share the upstreams' connections
    TimePoint lastUsed; ///< time of the latest request; an idle state is dropped

private:
    void indexUpstreams();
};

} // namespace jackdawdoor::core
