/** Scripted upstream in virtual time with latency, faults, slots and a count of runs per idempotency key. */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "core/attemptreport.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace jackdawdoor::fakes {

/** Behaviour of the upstream; may be changed at any time. */
struct UpstreamBehaviour {
    Duration medianLatency = std::chrono::milliseconds{20};
    double latencySpread = 0.5; ///< standard deviation of the logarithm of the latency
    double slowFactor = 1; ///< multiplies the latency
    double errorShare = 0; ///< answers with status 500, after the usual latency times `errorLatencyFactor`
    double errorLatencyFactor = 1; ///< below 1, errors are faster than answers
    double wrongShare = 0; ///< stale answers, which violate the contract
    double shortShare = 0; ///< truncated bodies
    double hangShare = 0; ///< requests that run but are never answered
    bool refusesConnections = false;
    bool shedsWhenFull = false; ///< otherwise requests in excess of the slots slow all requests down

    bool operator==(const UpstreamBehaviour &) const = default;
};

/** Outcome of one attempt at the upstream. */
struct UpstreamAnswer {
    core::AttemptEnd end = core::AttemptEnd::Complete;
    bool head = true; ///< a response head arrives after `latency`
    int status = 200;
    bool shed = false;
    bool stale = false;
    bool ran = true; ///< the request was executed
    Duration latency{};
};

/** Upstream with limited slots and scripted behaviour. */
class FakeUpstream
{
public:
    /** Determines the outcome of a request that arrives now and counts its run. */
    UpstreamAnswer accept(TimePoint now, const std::string &key, std::uint64_t fingerprint, RandomSource &random);

    /** Frees the slot of a request that ended or was abandoned. */
    void release();

    UpstreamBehaviour behaviour;
    int slots = 6;
    std::set<std::uint64_t> *crashers = nullptr; ///< fingerprints that crash the process
    Duration restartTime = std::chrono::seconds{2};
    int running = 0;
    int peakRunning = 0;
    std::uint64_t received = 0;
    std::uint64_t crashes = 0;
    TimePoint downUntil;
    TimePoint lastReceived;
    std::map<std::string, int> *runs = nullptr; ///< runs per key, shared by all upstreams

private:
    Duration latency(RandomSource &random) const;
};

} // namespace jackdawdoor::fakes
