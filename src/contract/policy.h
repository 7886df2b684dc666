/** The policy derived from a contract.
 *
 * Operators write only the contract. derivePolicy() computes these values from it, and every other module takes its
 * limits, budgets and allowances from the policy only.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Which objective of health detection the customer prefers. */
enum class Weight {
    DetectionTime,
    FalseEjections,
};

/** What makes an answer wrong although its transport succeeded. */
struct WrongAnswerRule {
    std::vector<int> statuses; ///< response statuses that count as wrong, such as 500
    std::string freshnessHeader; ///< header that carries the answer's age in seconds; empty when none is required
    std::optional<Duration> maximumAge; ///< an older or missing freshness header is a wrong answer
    std::string contentType; ///< required prefix of Content-Type; empty when any is accepted
    std::uint64_t minimumBodyBytes = 0; ///< a shorter body is a wrong answer

    bool operator==(const WrongAnswerRule &) const = default;
};

/** Derived limits of one operation. */
struct OperationPolicy {
    OperationId id;
    std::string method; ///< HTTP method, upper case
    std::string pathPrefix; ///< the longest matching prefix selects the operation
    bool idempotent = false;
    bool keyRequired = false; ///< non-idempotent requests without an idempotency key are refused
    Duration deadline{}; ///< from arrival to the first byte of the answer
    Duration attemptTimeout{}; ///< of one attempt, to the first byte
    Duration idleTimeout{}; ///< between two reads while a body streams
    int maximumAttempts = 1;
    std::optional<Duration> hedgeDelay; ///< a second attempt starts after this time; none for non-idempotent operations
    std::uint64_t maximumRequestBytes = 0;
    std::uint64_t maximumAnswerBytes = 0;
    WrongAnswerRule wrongAnswer;

    bool operator==(const OperationPolicy &) const = default;
};

/** One upstream of a service. */
struct UpstreamPolicy {
    UpstreamId id;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    int slots = 0; ///< concurrent requests that the upstream can run
    int connections = 0; ///< open connections that it accepts from the whole fleet

    bool operator==(const UpstreamPolicy &) const = default;
};

/** Derived health detection parameters of a service. */
struct HealthPolicy {
    Weight weight = Weight::DetectionTime;
    int healthyFloor = 0; ///< upstreams that must stay usable
    double ejectionThreshold = 0; ///< cumulated log-likelihood ratio at which an upstream is ejected
    double slowRatio = 0; ///< an answer is slow when it takes this many times the service's median
    int minimumBadAnswers = 0; ///< no ejection on fewer bad answers than this
    Duration probationDelay{}; ///< time from a first ejection to probation
    Duration maximumProbationDelay{}; ///< the delay doubles with each further ejection up to this value
    int probationTrials = 0; ///< consecutive good trials before an upstream returns
    Duration coldStartAllowance{}; ///< slow answers are not counted against an upstream for this time after its start

    bool operator==(const HealthPolicy &) const = default;
};

/** Derived limits of one service. */
struct ServicePolicy {
    ServiceId id;
    CustomerId customer;
    std::vector<UpstreamPolicy> upstreams;
    std::vector<OperationPolicy> operations;
    HealthPolicy health;
    double peakRequestsPerSecond = 0;
    double retryRatio = 0; ///< retries allowed per original request
    double retryBurst = 0; ///< retries that may accumulate
    int queueBound = 0; ///< requests that may wait on one instance
    int holders = 0; ///< instances that callers of the service are placed on
    Duration slotLeaseTerm{};
    Duration connectionProofAge{}; ///< non-idempotent requests are not sent over a connection silent for longer
    Duration drainTime{}; ///< a leaving upstream gets no new requests after this time
    Duration placementHold{}; ///< how long a caller may keep a placement answer
    Duration ticketLifetime{}; ///< how long an idempotency key is accepted

    bool operator==(const ServicePolicy &) const = default;
};

/** Derived policy of one customer. */
struct CustomerPolicy {
    CustomerId customer;
    std::string organisationHeader; ///< request header that names the caller's organisation; empty when there is none
    std::vector<ServicePolicy> services;

    bool operator==(const CustomerPolicy &) const = default;

    /** The service of that name, or nullptr. */
    const ServicePolicy *findService(const ServiceId &id) const;
};

struct Contract;

/** The policy that follows from an accepted contract. Equal contracts give equal policies on every instance. */
CustomerPolicy derivePolicy(const Contract &contract);

} // namespace jackdawdoor::contract
