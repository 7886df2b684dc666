/** State of an instance for operators. */
#pragma once

#include "base/ids.h"
#include "configuration/logrecord.h"
#include "core/requestdispatcher.h"
#include "health/localhealth.h"
#include "membership/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** One upstream as this instance sees it. */
struct UpstreamStatus {
    UpstreamId upstream;
    health::Standing standing = health::Standing::Healthy;
    double severity = 0; ///< strength of the evidence of a fault; 0 for none
    int slotsFree = 0; ///< leased and free
    int slotsInUse = 0;

    bool operator==(const UpstreamStatus &) const = default;
};

/** One service that this instance handles requests for. */
struct ServiceStatus {
    ServiceId service;
    std::uint64_t policyVersion = 0;
    InstanceId coordinator;
    int usable = 0; ///< upstreams that accept ordinary requests
    int healthyFloor = 0;
    std::size_t queued = 0;
    double retryBalance = 0; ///< retries available in the retry budget
    std::vector<UpstreamStatus> upstreams;

    bool operator==(const ServiceStatus &) const = default;
};

/** Contract version in force of one customer. */
struct VersionStatus {
    CustomerId customer;
    configuration::Version version = 0;

    bool operator==(const VersionStatus &) const = default;
};

/** State of one instance. */
struct InstanceStatus {
    InstanceRef self;
    bool ready = false;
    bool stopping = false;
    std::vector<VersionStatus> versions;
    std::vector<membership::Member> members;
    std::vector<ServiceStatus> services;
    std::vector<ServiceId> coordinated;
    std::size_t activeRequests = 0;
    std::size_t homeKeys = 0;
    std::size_t witnessKeys = 0;
    RequestCounts counts;
};

/** The status as a JSON document. */
std::string statusToJson(const InstanceStatus &status);

} // namespace jackdawdoor::core
