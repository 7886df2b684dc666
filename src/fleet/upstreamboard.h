/** What one instance knows of each upstream: load, gray belief, warm-up and speed.
 *
 * Own attempts are counted at once; those of other instances come with their load reports. Outcomes of other instances
 * move the same belief as own ones. Everything belongs to one incarnation of an upstream and ends with it.
 */
#pragma once

#include "fleet/fleetmessage.h"
#include "fleet/upstreamentry.h"
#include "health/grayepisodeestimator.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawdoor::fleet {

/** How an attempt at an upstream ended, as far as its health and load are concerned. */
enum class AttemptOutcome {
    Answered, ///< a complete answer that is no failure
    Failed, ///< error answer, reset, broken off or spoilt answer
    TimedOut, ///< no answer in the time given
    NotRun, ///< the upstream rejected it without running it
    Misdirected, ///< another upstream has the address
    Unreachable, ///< no connection could be opened
    Abandoned, ///< ended from this side; tells nothing
};

/** Load and health of one upstream, for a choice. */
struct UpstreamRecord {
    UpstreamEntry entry;
    std::uint32_t key = 0; ///< short name in messages, from id and incarnation
    health::GrayEpisodeEstimator belief{health::GrayModel{}};
    int ownInFlight = 0;
    int otherInFlight = 0; ///< by the latest reports of other instances
    TimePoint warmAt{}; ///< end of its cold start
    TimePoint fullUntil{}; ///< it rejected a request for lack of room
    TimePoint unusableUntil{}; ///< it could not be reached from here, or another upstream has its address
    int unreachableInRow = 0;
    double meanLatency = 0; ///< seconds, moving mean of successful answers; zero before the first
    TimePoint lastUsed{}; ///< any instance sent a request there; the epoch before the first
    int unreportedSuccesses = 0; ///< own outcomes since the last load report
    int unreportedBegun = 0; ///< own attempts since the last load report

    /** Requests that run there or are on their way. */
    int inFlight() const
    {
        return ownInFlight + otherInFlight;
    }
};

/** All upstreams of all services. */
class UpstreamBoard
{
public:
    /** Takes the present upstreams; records of those that stay are kept. */
    void setEntries(TimePoint now, const std::vector<UpstreamEntry> &entries);

    /** Upstreams of a service, in a stable order; empty when the service is not known. */
    const std::vector<UpstreamRecord *> &ofService(const ServiceId &service) const;

    /** The record, or nullptr when the upstream or its incarnation has gone. */
    UpstreamRecord *find(const UpstreamId &id, std::int64_t born);

    /** An attempt begins. */
    void begin(TimePoint now, UpstreamRecord &record);

    /** An attempt ended after some time. The record may have gone meanwhile, so it is named. */
    void end(TimePoint now, const UpstreamId &id, std::int64_t born, AttemptOutcome outcome, Duration took);

    /** An attempt runs suspiciously long; counts as a failure, once for each attempt. */
    void noteOverdue(TimePoint now, const UpstreamId &id, std::int64_t born);

    /** Another instance saw a failure. */
    void takeFailure(TimePoint now, const FailureNotice &notice);

    /** Another instance was told that another upstream has the address. */
    void takeMisdirected(TimePoint now, const MisdirectedNotice &notice);

    /** Another instance's load and successes. A later report replaces its load. */
    void takeReport(TimePoint now, const InstanceId &from, const LoadReport &report);

    /** Forgets the load of instances that have fallen silent. */
    void expireReports(TimePoint now);

    /** Own load and the successes since the last report. Lists upstreams with either, and once more after the last. */
    LoadReport takeOwnReport();

    /** Typical time of an answer of the service in seconds, median over its upstreams; zero before the first answer. */
    double typicalLatency(const ServiceId &service) const;

private:
    struct PeerLoad {
        TimePoint at{};
        std::vector<LoadItem> items;
    };

    void applyLoad(const PeerLoad &load, int sign);
    void settle(TimePoint now, UpstreamRecord &record, AttemptOutcome outcome, Duration took);
    void noteUnreachable(TimePoint now, UpstreamRecord &record);
    UpstreamRecord *findKey(std::uint32_t key);

    std::map<UpstreamId, UpstreamRecord> m_records;
    std::map<ServiceId, std::vector<UpstreamRecord *>> m_byService;
    std::unordered_map<std::uint32_t, UpstreamRecord *> m_byKey;
    std::map<InstanceId, PeerLoad> m_peers;
    std::vector<std::uint32_t> m_reported; ///< keys with load in the last report
};

/** Short name of one incarnation of an upstream in messages between instances. */
std::uint32_t upstreamKey(const UpstreamId &id, std::int64_t born);

} // namespace jackdawdoor::fleet
