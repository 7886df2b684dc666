/** Load, health and latency of each upstream, as known to one instance.
 *
 * Own attempts are counted immediately, those of other instances when their load reports arrive. Outcomes seen by other
 * instances update the same health estimate as own ones. A record belongs to one incarnation of an upstream and is
 * discarded with it. Only what the upstream has announced outlasts the record, in case its entry vanishes and comes back.
 */
#pragma once

#include "fleet/announcedstate.h"
#include "fleet/fleetmessage.h"
#include "fleet/upstreamentry.h"
#include "fleet/upstreamsignals.h"
#include "health/grayepisodeestimator.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawdoor::fleet {

/** How an attempt ended, as far as the upstream's health and load are concerned. */
enum class AttemptOutcome {
    Answered, ///< complete answer without failure
    Failed, ///< error answer, reset, or incomplete or corrupt answer
    TimedOut, ///< no answer in time
    NotRun, ///< rejected by the upstream without running
    Misdirected, ///< the address belongs to another upstream
    Unreachable, ///< connection could not be opened
    Abandoned, ///< cancelled by this instance; says nothing about the upstream
};

/** Load, health and latency of one upstream. */
struct UpstreamRecord {
    UpstreamEntry entry;
    std::uint32_t key = 0; ///< see upstreamKey
    health::GrayEpisodeEstimator grayEstimate{health::GrayModel{}}; ///< probability that the upstream is in a gray failure
    int ownInFlight = 0;
    int otherInFlight = 0; ///< sum of the latest reports of other instances
    TimePoint coldUntil{}; ///< end of its warm-up
    TimePoint fullUntil{}; ///< end of the backoff after it rejected a request
    TimePoint unusableUntil{}; ///< end of the backoff after it was unreachable or its address belonged to another upstream
    int consecutiveUnreachable = 0;
    AnnouncedState announced;
    double meanLatencySeconds = 0; ///< moving mean over successful answers; zero before the first
    TimePoint lastUsed{}; ///< last request of any instance; the epoch before the first
    TimePoint lastReached{}; ///< last sign that a request of any instance has arrived there
    int unreachedInRow = 0; ///< requests of all instances that did not arrive since the last one that did
    int unreportedSuccesses = 0; ///< own successes since the last load report
    int unreportedBegun = 0; ///< own attempts since the last load report

    /** Requests in flight from all instances. */
    int inFlight() const
    {
        return ownInFlight + otherInFlight;
    }
};

/** An announcement that is over: the upstream that left is gone, or the rest has ended. */
struct AnnouncementEnd {
    enum class What {
        Leaving,
        Rest,
    };

    UpstreamEntry upstream;
    What what = What::Leaving;
    Duration age{};

    bool operator==(const AnnouncementEnd &) const = default;
};

/** Table of the upstreams of all services. */
class UpstreamTable
{
public:
    /** Replaces the set of upstreams. Records of upstreams whose incarnation is unchanged are kept. Returns the keys of those
     * that are gone although neither their entry nor an answer had said that they leave. */
    std::vector<std::uint32_t> setEntries(TimePoint now, const std::vector<UpstreamEntry> &entries);

    /** Returns the upstreams of a service, sorted by id; empty if the service is unknown. */
    const std::vector<UpstreamRecord *> &ofService(const ServiceId &service) const;

    /** Returns the record, or nullptr if this incarnation of the upstream is not in the table. */
    UpstreamRecord *find(const UpstreamId &id, std::int64_t incarnation);

    /** Records the start of an attempt. Returns what the other instances should know before the next load report: a request to
     * an upstream that was idle, which they would choose for the same reason, or that is rate-limited. */
    std::optional<NoticeItem> beginAttempt(TimePoint now, UpstreamRecord &record);

    /** Records the end of an attempt. Takes an id, because the record may have been removed in the meantime. Returns what the other
     * instances should know: that the request did not arrive, so that one of them can send one in its place. */
    std::optional<NoticeItem>
    endAttempt(TimePoint now, const UpstreamId &id, std::int64_t incarnation, AttemptOutcome outcome, Duration duration);

    /** Records that an attempt is overdue, which counts as a failure. Must be called at most once per attempt. */
    void recordOverdue(TimePoint now, const UpstreamId &id, std::int64_t incarnation);

    /** Records the signals of an answer, for a removed upstream in case its entry comes back. answered: the answer reports no failure; only
     * such an answer ends a rate limit by not announcing it. Returns what has changed and the other instances should know. */
    std::optional<NoticeItem>
    recordSignals(TimePoint now, const UpstreamId &id, std::int64_t incarnation, const UpstreamSignals &signals, bool answered);

    /** Applies failures and announcements seen, and requests sent, by another instance. Returns the upstreams that the notice
     * has made known as leaving. */
    std::vector<UpstreamEntry> applyNotice(TimePoint now, const UpstreamNotice &notice);

    /** Returns the announcements that have ended since the last call, for the log. */
    std::vector<AnnouncementEnd> takeAnnouncementEnds(TimePoint now);

    /** Applies another instance's finding that the address belongs to another upstream. */
    void applyMisdirectedNotice(TimePoint now, const MisdirectedNotice &notice);

    /** Applies the load and successes of another instance. The load replaces that of its previous report. */
    void applyLoadReport(TimePoint now, const InstanceId &from, const LoadReport &report);

    /** Removes the load of instances that have stopped reporting. */
    void expireReports(TimePoint now);

    /** Returns the number of other instances whose load is known. */
    std::size_t reportingInstances() const;

    /** Builds a report of the own load and of the attempts and successes since the last one, and resets their counters. Lists
     * only upstreams for which any of these is not zero. */
    LoadReport takeOwnReport();

    /** Returns the median of the mean latencies of the service's upstreams; zero before the first answer. */
    double medianLatencySeconds(const ServiceId &service) const;

private:
    using Identity = std::pair<UpstreamId, std::int64_t>; ///< id and incarnation
    struct RemovedUpstream {
        AnnouncedState announced;
        TimePoint removedAt{};
    };
    struct PeerLoad {
        TimePoint at{};
        std::vector<LoadItem> items;
    };

    void limitRemoved(TimePoint now);
    void rememberUnlisted(TimePoint now, const Identity &identity, const UpstreamSignals &signals);
    void rememberAnnouncements(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &present);
    void restoreAnnouncements(UpstreamRecord &record);
    std::optional<NoticeItem> recordRateLimit(TimePoint now, UpstreamRecord &record, const UpstreamSignals &signals, bool answered);
    std::vector<std::uint32_t> goneWithoutNotice(const std::map<UpstreamId, UpstreamRecord> &present) const;
    void applyLoad(const PeerLoad &load, int sign);
    void applyOutcome(TimePoint now, UpstreamRecord &record, AttemptOutcome outcome, Duration duration);
    static void recordUnreachable(TimePoint now, UpstreamRecord &record);
    static void recordReached(TimePoint now, UpstreamRecord &record);
    static void recordUnreached(UpstreamRecord &record, int requests);
    UpstreamRecord *findKey(std::uint32_t key);

    std::map<UpstreamId, UpstreamRecord> m_records;
    std::map<ServiceId, std::vector<UpstreamRecord *>> m_byService;
    std::unordered_map<std::uint32_t, UpstreamRecord *> m_byKey;
    std::map<InstanceId, PeerLoad> m_peers;
    std::set<std::uint32_t> m_resting; ///< keys of upstreams whose rest has not been returned as ended
    std::vector<AnnouncementEnd> m_ended;
    std::map<Identity, RemovedUpstream> m_removed; ///< upstreams without an entry that had announced something
};

/** Hash that identifies one incarnation of an upstream in messages between instances. */
std::uint32_t upstreamKey(const UpstreamId &id, std::int64_t incarnation);

} // namespace jackdawdoor::fleet
