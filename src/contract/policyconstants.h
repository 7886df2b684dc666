/** The constants of the derivation rules, with the reason for each number. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <chrono>

namespace jackdawdoor::contract {

// Attempts.

/** An attempt gets at least this long. An answer takes about 25 ms as a probe does, and a new connection 1 ms more; twice
 * that still separates a slow upstream from a normal one.
 */
inline constexpr Duration minimumAttemptTime = std::chrono::milliseconds{50};

/** With a tenth of the upstreams failing, three attempts at different upstreams all fail for one request in a thousand. */
inline constexpr int idempotentAttempts = 3;

/** A second attempt is made only when the first certainly did not run; it saves the caller from a closed port or a shed
 * request, and one half of the time is left to each attempt.
 */
inline constexpr int nonIdempotentAttempts = 2;

/** A hedge starts after this part of the attempt timeout: later it would gain little over the timeout, earlier it would
 * spend the retry budget on answers that are merely usual.
 */
inline constexpr int hedgeDivisor = 4;

/** No hedge before the time of a usual answer. */
inline constexpr Duration minimumHedgeDelay = std::chrono::milliseconds{25};

/** Bounds of the pause allowed within a body: shorter ones are usual garbage collection or packet loss, longer ones mean
 * that the connection has gone silent.
 */
inline constexpr Duration minimumIdleTimeout = std::chrono::seconds{1};
inline constexpr Duration maximumIdleTimeout = std::chrono::seconds{10};

// Retries.

/** Keeps the amplification of a full outage at the target of 1.1. */
inline constexpr double retryRatio = 0.1;

/** A saved-up burst adds to an outage's amplification, so it stays negligible next to a second's requests. */
inline constexpr int maximumRetryBurst = 10;

// Placement and queues.

/** The planned fleet serves 820,000 requests per second at peak on 4,100 instances. */
inline constexpr double requestsPerSecondOfInstance = 200;

/** Requests that a small instance can have running; each holds buffers of up to 64 KiB, 16 MiB in all. */
inline constexpr int runningRequestsOfInstance = 256;

/** One holder and another one that takes over when it fails, and that confirms its evidence of a gray upstream. */
inline constexpr int minimumHolders = 2;

/** A longer queue takes memory for requests that deadlines will refuse anyway. */
inline constexpr int maximumQueueBound = 1000;

/** A stale placement costs one forwarded request; a shorter hold would cost each caller more queries. */
inline constexpr Duration placementHold = std::chrono::seconds{30};

// Leases, connections and stops.

/** Term of the slot leases: capacity of a failed holder returns in 2 s, and four reports of 500 ms fit in. */
inline constexpr Duration slotLeaseTerm = std::chrono::seconds{2};

/** Connections that go silent for good are noticed by missing answers; 2 s of silence is as far as one is trusted. */
inline constexpr Duration connectionProofAge = std::chrono::seconds{2};

/** Required: an upstream that is leaving receives no new work after 3 s. */
inline constexpr Duration drainTime = std::chrono::seconds{3};

// Tickets.

/** An original and three resends, each for the whole usefulness time, fit in one ticket. */
inline constexpr int sendsOfTicket = 4;

/** Callers on bad lines come back after minutes; a ticket that lapsed could tell them nothing about their order. */
inline constexpr Duration minimumTicketLifetime = std::chrono::minutes{5};

/** Detection constants, by weight. */
struct HealthConstants {
    double falseAlarmInterval; ///< observations; the ejection threshold is its natural logarithm
    int minimumBadAnswers;
    Duration coldStartAllowance;
};

/** A CUSUM of log-likelihood ratios with threshold ln(n) gives a healthy upstream at least n observations between false
 * alarms. With these values the detection targets are met, and 24 hours of noisy health ejected nothing by mistake; see
 * docs/MEASUREMENTS.md. false-ejections also gives a restarted upstream more time, to keep its capacity.
 */
inline constexpr HealthConstants detectionTimeConstants{1e6, 3, std::chrono::seconds{10}};
inline constexpr HealthConstants falseEjectionsConstants{1e7, 4, std::chrono::seconds{30}};

/** Below the 5x slowdown that must be found, and above a healthy upstream's hiccups of twice its usual latency. */
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
