/** Detects requests that crash the upstreams that run them.
 *
 * When an upstream resets its connections, any request that was in flight there may be the cause, and each becomes a
 * suspect. Repeated crashes without a success in between identify the cause:
 *
 * - A suspect is retried only in an exclusive trial: alone on an upstream, on another upstream than the one that
 *   crashed, and with one trial of a fingerprint at a time. An unrelated request completes and is cleared. Any complete
 *   answer to the fingerprint clears it, so a popular request that is present at many crashes is not refused.
 * - A fingerprint that was in flight at crashes of two different upstreams, with no complete answer in between, is
 *   blocked: every instance refuses it until the block expires. An attacker who wants another request blocked must be
 *   on its upstream at both crashes, and the second attempt ran alone.
 * - The bound is two crashed upstreams. Those already running a copy when the first crash is reported count towards it,
 *   and only they can exceed it, since dispatched copies cannot be recalled. trialOwner() names the one holder that runs
 *   the trial; the others refuse or forward.
 *
 * Health: a crash counts against its upstream unless a suspect from an earlier crash of another upstream was in flight.
 * When a fingerprint is blocked, its earlier crash is retracted.
 *
 * Memory is bounded. A full table evicts the oldest suspect of the organisation with the most suspects, so an
 * organisation that produces many fingerprints evicts its own first. Blocked fingerprints are evicted early only when
 * the table holds nothing else. One crash yields no more suspects than the upstream has slots, so each new suspect
 * costs an attacker a share of a crashed upstream; evicting a blocked fingerprint costs two crashes for each entry.
 *
 * Limits: a trial is alone among the requests of this instance only. A request that another instance sends to the same
 * upstream can crash it during the trial; the request on trial is then refused for the block duration or until a copy
 * of it completes. Clearances are kept for clearanceRetention; a report delayed for longer makes a cleared fingerprint
 * a suspect again, which costs one exclusive trial.
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
    Duration suspicionTimeout = std::chrono::minutes{2}; ///< after this time without another crash a suspect is removed
    Duration blockDuration = std::chrono::minutes{10}; ///< how long a blocked fingerprint is refused
    Duration clearanceRetention = std::chrono::seconds{15}; ///< so that late reports from before a clearance are ignored
    Duration trialTimeout = std::chrono::seconds{60}; ///< a trial whose end is not reported ends after this time
};

/** A request that was in flight when its upstream crashed. */
struct InFlightRequest {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisationHash = 0; ///< stable hash of the organisation

    bool operator==(const InFlightRequest &) const = default;
};

/** How a request may be dispatched. */
enum class SuspectStatus {
    Unrestricted, ///< not a suspect
    Exclusive, ///< only alone, through beginTrial()
    TrialRunning, ///< a trial is running here; refuse as not run, waiting helps
    Refused, ///< blocked; refuse as not run
};

/** Consequences of a crash for health and for the suspect tables of other holders. */
struct CrashAttribution {
    bool countsAgainstUpstream = true; ///< report it to health
    std::vector<UpstreamId> retracted; ///< upstreams whose earlier crash was caused by a request now blocked
    std::vector<SuspectReport> reports; ///< to be sent to the other holders of the service
};

/** Suspect table of one service. */
class CrashSuspects
{
public:
    explicit CrashSuspects(SuspectLimits limits);

    /** Handles a crash of an upstream on which this instance had these requests in flight. To be called once per crash. */
    CrashAttribution onCrash(TimePoint now, const UpstreamId &upstream, const std::vector<InFlightRequest> &inFlight);

    /** Handles the complete answer to a request. Returns a report for the other holders if it cleared a suspect. */
    std::optional<SuspectReport> onComplete(TimePoint now, std::uint64_t fingerprint);

    /** How a request with this fingerprint may be dispatched now. */
    SuspectStatus statusOf(TimePoint now, std::uint64_t fingerprint) const;

    /** Upstreams that crashed with this fingerprint in flight; a trial must avoid them. */
    std::vector<UpstreamId> crashedUpstreams(TimePoint now, std::uint64_t fingerprint) const;

    /** Reserves the exclusive trial. False unless the status is Exclusive and the fingerprint has not crashed this upstream. */
    bool beginTrial(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream);

    /** Ends a trial without a result: neither completion nor crash. */
    void endTrial(std::uint64_t fingerprint);

    /** Whether a trial runs on the upstream; no other request may be sent there. */
    bool reservedForTrial(TimePoint now, const UpstreamId &upstream) const;

    /** Merges a report of another holder. Returns upstreams whose crashes are retracted because this blocks the fingerprint. */
    std::vector<UpstreamId> onReport(TimePoint now, const SuspectReport &report);

    /** Removes expired entries and trials. */
    void onTick(TimePoint now);

    std::size_t size() const; ///< fingerprints in the table

private:
    struct Entry {
        std::uint64_t organisationHash = 0;
        std::uint32_t clearances = 0;
        std::vector<UpstreamId> upstreams; ///< that crashed; at most two, none when cleared
        TimePoint expires; ///< end of the suspicion, block or clearance retention

        bool isBlocked() const;
    };
    struct Trial {
        std::uint64_t fingerprint = 0;
        UpstreamId upstream;
        TimePoint ends;
    };
    using Entries = absl::flat_hash_map<std::uint64_t, Entry>;

    const Entry *findLive(TimePoint now, std::uint64_t fingerprint) const;
    Entry &findOrAdd(TimePoint now, std::uint64_t fingerprint, std::uint64_t organisationHash);
    bool suspectedElsewhere(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream) const;
    bool addUpstream(TimePoint now, Entry &entry, const UpstreamId &upstream);
    bool trialRunning(TimePoint now, std::uint64_t fingerprint) const;
    void evictEntry(TimePoint now);
    Entries::iterator evictionCandidate(TimePoint now);

    SuspectLimits m_limits;
    Entries m_entries;
    std::vector<Trial> m_trials; ///< at most one per upstream
};

/** The holder that runs the exclusive trial of a fingerprint. `holders` must not be empty. */
InstanceId trialOwner(std::uint64_t fingerprint, const std::vector<InstanceId> &holders);

} // namespace jackdawdoor::idempotency
