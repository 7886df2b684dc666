/** The constants of the derivation rules, with the reason for each number. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <chrono>

namespace jackdawdoor::contract {

// Attempts.

/** Further attempts are allowed only if each gets at least this time. An answer takes about 25 ms, as a probe does, and a
 * new connection 1 ms more; twice that still distinguishes a slow upstream from a normal one.
 */
inline constexpr Duration minimumAttemptTime = std::chrono::milliseconds{50};

/** With a tenth of the upstreams failing, three attempts at different upstreams all fail for one request in a thousand. */
inline constexpr int idempotentAttempts = 3;

/** A second attempt is made only when the first certainly did not run, as after a closed port or a shed request; each
 * attempt gets half of the time.
 */
inline constexpr int nonIdempotentAttempts = 2;

/** A hedge starts after the attempt timeout divided by this. A later hedge would gain little over the timeout, an earlier
 * one would spend the retry budget on answers of normal latency.
 */
inline constexpr int hedgeDivisor = 4;

/** Latency of a normal answer; no hedge starts earlier. */
inline constexpr Duration minimumHedgeDelay = std::chrono::milliseconds{25};

/** Bounds of the pause allowed within a body: shorter pauses are normal (garbage collection, packet loss), longer ones mean
 * that the connection is dead.
 */
inline constexpr Duration minimumIdleTimeout = std::chrono::seconds{1};
inline constexpr Duration maximumIdleTimeout = std::chrono::seconds{10};

// Retries.

/** Limits the load amplification of a full outage to the target of 1.1. */
inline constexpr double retryRatio = 0.1;

/** A burst adds to the amplification of an outage, so it is kept negligible compared with the requests of one second. */
inline constexpr int maximumRetryBurst = 10;

// Placement and queues.

/** The planned fleet serves 820,000 requests per second at peak on 4,100 instances. */
inline constexpr double requestsPerSecondPerInstance = 200;

/** Concurrent requests of a small instance; each has buffers of up to 64 KiB, 16 MiB in all. */
inline constexpr int concurrentRequestsPerInstance = 256;

/** A second holder takes over when the first fails, and confirms its evidence of an upstream's gray failure. */
inline constexpr int minimumHolders = 2;

/** A longer queue would use memory for requests that would exceed their deadlines anyway. */
inline constexpr int maximumQueueBound = 1000;

/** A stale placement costs one forwarded request; a shorter hold would cost each caller more queries. */
inline constexpr Duration placementHold = std::chrono::seconds{30};

// Leases, connections and stops.

/** The slots of a failed holder are free again after 2 s; a term spans four reports, which are 500 ms apart. */
inline constexpr Duration slotLeaseTerm = std::chrono::seconds{2};

/** A dead connection is detected only by missing answers, so a connection that was silent for 2 s is not relied on. */
inline constexpr Duration connectionProofAge = std::chrono::seconds{2};

/** Requirement: a leaving upstream receives no new requests after 3 s. */
inline constexpr Duration drainTime = std::chrono::seconds{3};

// Tickets.

/** A ticket lives long enough for a request and three resends, each of which may take the whole of usefulWithin. */
inline constexpr int sendsPerTicketLifetime = 4;

/** Callers with poor connections retry after minutes; an expired ticket could no longer tell them the outcome. */
inline constexpr Duration minimumTicketLifetime = std::chrono::minutes{5};

/** Detection constants, by weight. */
struct HealthConstants {
    double falseAlarmInterval; ///< observations; the ejection threshold is its natural logarithm
    int minimumBadAnswers;
    Duration coldStartAllowance;
};

/** A CUSUM of log-likelihood ratios with threshold ln(n) gives a healthy upstream at least n observations between false
 * alarms. With these values the detection targets are met, and 24 hours with noisy but healthy upstreams gave no false
 * ejection; see docs/MEASUREMENTS.md. false-ejections also gives a restarted upstream more time, to keep its capacity.
 */
inline constexpr HealthConstants detectionTimeConstants{1e6, 3, std::chrono::seconds{10}};
inline constexpr HealthConstants falseEjectionsConstants{1e7, 4, std::chrono::seconds{30}};

/** Below the 5x slowdown that must be detected, and above latency spikes of 2x, which healthy upstreams show. */
inline constexpr double slowRatio = 3.0;
inline constexpr Duration probationDelay = std::chrono::seconds{5};
inline constexpr int probationTrials = 3;

/** A flapping upstream is tried about once in two minutes, which costs one request each time. */
inline constexpr Duration maximumProbationDelay = std::chrono::seconds{120};

/** The constants of a weight. */
constexpr const HealthConstants &healthConstants(Weight weight)
{
    return weight == Weight::DetectionTime ? detectionTimeConstants : falseEjectionsConstants;
}

} // namespace jackdawdoor::contract
