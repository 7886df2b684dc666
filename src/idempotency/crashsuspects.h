/** Requests that may crash the upstreams that run them.
 *
 * When an upstream resets its connections, every request that was in flight there may be the cause. Each becomes a
 * suspect. What separates cause and bystander is repetition without success:
 *
 * - A suspect is tried again only alone on an upstream (exclusive trial), on another upstream than it crashed, and
 *   only one trial of a fingerprint runs at a time. A bystander completes and is cleared. Any complete answer to the
 *   fingerprint clears it, so a popular request that is present at many crashes is not refused.
 * - A fingerprint present at crashes of two different upstreams with no complete answer between is convicted: it is
 *   refused on every instance until the conviction expires. An attacker who wants an innocent request convicted must
 *   be on its upstream at two crashes, and the second attempt ran alone.
 * - The bound is two upstreams, counting those that were already running the request when the first crash was reported.
 *   Copies dispatched elsewhere before the report arrived cannot be recalled. trialOwner() names the one holder that
 *   runs the trial; the others refuse or forward.
 *
 * Health: a crash counts against its upstream unless a suspect from an earlier crash of another upstream was in flight.
 * On a conviction the earlier crash is retracted.
 *
 * Memory is bounded. When the table is full, the oldest suspect of the source (organisation) with the most suspects is
 * dropped, so one organisation that produces many fingerprints displaces its own suspects first. A convicted
 * fingerprint is dropped before its time only when there is no unconvicted one of that source. Each new suspect costs
 * an attacker a share of a crashed upstream, and one crash yields no more suspects than the upstream has slots.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "idempotency/idempotencymessage.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace jackdawdoor::idempotency {

/** Bounds of the suspect table. */
struct SuspectLimits {
    std::size_t maximumEntries = 4096;
    Duration suspicionTime = std::chrono::minutes{2}; ///< a suspect not seen at a crash again is forgotten
    Duration convictionTime = std::chrono::minutes{10}; ///< then the request may be tried again, as a suspect
    Duration trialTime = std::chrono::seconds{60}; ///< a trial whose end is not reported ends by itself
};

/** A request that was in flight when its upstream crashed. */
struct InFlightRequest {
    std::uint64_t fingerprint = 0;
    std::uint64_t source = 0; ///< stable hash of the organisation

    bool operator==(const InFlightRequest &) const = default;
};

/** How a request may be run. */
enum class SuspectVerdict {
    Free, ///< as usual
    Exclusive, ///< only alone, through beginTrial()
    TrialRunning, ///< a trial is running here; refuse as not run, waiting helps
    Refused, ///< convicted; refuse as not run
};

/** What a crash means. */
struct CrashAttribution {
    bool countsAgainstUpstream = true; ///< report it to health
    std::vector<UpstreamId> retracted; ///< upstreams whose earlier crash was caused by a request now convicted
    std::vector<SuspectReport> reports; ///< to be sent to the other holders of the service
};

/** Suspects of one service. */
class CrashSuspects
{
public:
    explicit CrashSuspects(SuspectLimits limits);

    /** An upstream reset while these requests were in flight from this instance. One call for each crash. */
    CrashAttribution onCrash(TimePoint now, const UpstreamId &upstream, const std::vector<InFlightRequest> &inFlight);

    /** A request got its complete answer. Returns a report for the other holders if that cleared a suspect. */
    std::optional<SuspectReport> onComplete(TimePoint now, std::uint64_t fingerprint);

    /** How a request with this fingerprint may be run now. */
    SuspectVerdict verdict(TimePoint now, std::uint64_t fingerprint) const;

    /** Upstreams that it was present at when they crashed; a trial must avoid them. */
    std::vector<UpstreamId> crashedUpstreams(TimePoint now, std::uint64_t fingerprint) const;

    /** Reserves the exclusive trial. False unless the verdict is Exclusive and the upstream is a new one. */
    bool beginTrial(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream);

    /** Ends a trial that neither completed nor crashed. */
    void endTrial(std::uint64_t fingerprint);

    /** Whether a trial runs on the upstream, so that nothing else may be sent there. */
    bool reservedForTrial(TimePoint now, const UpstreamId &upstream) const;

    /** Merges a report of another holder. */
    void onReport(TimePoint now, const SuspectReport &report);

    /** Forgets what has expired. */
    void onTick(TimePoint now);

    std::size_t size() const; ///< fingerprints in the table

private:
    struct Entry {
        std::uint64_t source = 0;
        std::uint32_t clearances = 0;
        std::vector<UpstreamId> upstreams; ///< sorted, at most two; empty: cleared
        TimePoint expires; ///< end of suspicion, conviction or memory of the clearance
        TimePoint trialEnds; ///< a trial runs before this time
        UpstreamId trialUpstream;

        bool convicted() const;
    };

    const Entry *findLive(TimePoint now, std::uint64_t fingerprint) const;
    Entry *findOrAdd(TimePoint now, const InFlightRequest &request);
    bool addUpstream(TimePoint now, Entry &entry, const UpstreamId &upstream);
    bool makeRoom(TimePoint now);
    SuspectReport report(std::uint64_t fingerprint, const Entry &entry) const;

    SuspectLimits m_limits;
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
};

/** The holder that runs the exclusive trial of a fingerprint. `holders` is not empty. */
InstanceId trialOwner(std::uint64_t fingerprint, const std::vector<InstanceId> &holders);

} // namespace jackdawdoor::idempotency
