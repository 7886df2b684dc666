/** Finds requests that crash upstreams, together with the other instances.
 *
 * Supplies fleet::CrashTracker, which decides, with evidence, and exchanges its records: a new record is broadcast twice, since a datagram
 * may be lost, and the latest ones are sent to a random instance periodically, for instances that have started, were cut off or paused, or
 * missed a datagram.
 */
#pragma once

#include "base/random.h"
#include "fleet/crashtracker.h"
#include "fleet/fleetmessage.h"
#include "fleet/messagepacer.h"
#include "fleet/requestfingerprint.h"
#include "proxy/connectioncheck.h"
#include "proxy/proxymetrics.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Callbacks to the owner. */
struct CrashDetectorHooks {
    std::function<void(const fleet::FleetMessage &)> broadcast; ///< to all live instances
    std::function<void(const fleet::FleetMessage &)> sendToRandom; ///< to a random live instance
};

/** Crash detection of one instance. Used on its loop only. */
class CrashDetector
{
public:
    CrashDetector(net::EventLoop &loop, RandomSource &random, ProxyMetrics &metrics);

    void setHooks(CrashDetectorHooks hooks);

    /** Returns true if the request must not be run now. */
    bool refused(TimePoint now, const fleet::RequestFingerprint &request) const;

    /** Returns the number of upstreams that the request is known to have crashed. */
    std::size_t crashes(const fleet::RequestFingerprint &request) const;

    /** An attempt of the request begins. */
    void onAttempt(TimePoint now, const fleet::RequestFingerprint &request);

    /** The upstream left the request without an answer. Checks whether its process has ended. listed: its entry is still there.
     * begun: when the attempt began. */
    void onUnanswered(TimePoint now,
                      const fleet::RequestFingerprint &request,
                      const fleet::UpstreamEntry &upstream,
                      bool listed,
                      TimePoint begun);

    /** An upstream answered the request completely. */
    void onAnswer(TimePoint now, const fleet::RequestFingerprint &request);

    /** The upstream refuses connections. */
    void onUnreachable(TimePoint now, std::uint32_t upstream);

    /** The entries of these upstreams were replaced or removed. */
    void onRemoved(TimePoint now, const std::vector<std::uint32_t> &upstreams);

    /** Another instance sent its findings. */
    void receive(TimePoint now, const fleet::CrashReport &report, const InstanceId &from);

    /** Periodic work. instances: number of live instances. */
    void tick(TimePoint now, std::size_t instances);

private:
    void attribute(TimePoint now, const std::vector<std::uint64_t> &requests, std::uint32_t upstream);
    void share(TimePoint now);
    void scheduleRepeats(const std::vector<fleet::CrashRecord> &records);
    void startRepeats();
    std::vector<fleet::CrashRecord> takeUnshared(TimePoint now);

    RandomSource &m_random;
    ProxyMetrics &m_metrics;
    CrashDetectorHooks m_hooks;
    fleet::CrashTracker m_tracker;
    ConnectionChecks m_checks;
    fleet::MessagePacer m_pacer;
    std::set<std::uint64_t> m_unshared; ///< requests with a finding to broadcast
    std::set<std::uint64_t> m_repeats; ///< requests whose finding is broadcast once more with the next periodic work
    std::set<std::uint64_t> m_repeated; ///< those in m_unshared for the second time
    TimePoint m_nextRepeat{};
};

} // namespace jackdawdoor::proxy
