/** Requests that may crash the upstreams that run them.
 *
 * When an upstream resets its connections, every request that was in flight there may be the cause. Each becomes a
 * suspect. What separates cause and bystander is repetition without success:
 *
 * - A suspect is tried again only alone on an upstream (exclusive trial), on another upstream than it crashed, and
 *   only one trial of a fingerprint runs at a time. A bystander completes and is cleared. Any complete answer to the
 *   fingerprint clears it, so a popular request that is present at many crashes is not refused.
 * - A fingerprint present at crashes of two different upstreams with no complete answer between is blocked: it is
 *   refused on every instance until the conviction expires. An attacker who wants an innocent request blocked must
 *   be on its upstream at two crashes, and the second attempt ran alone.
 * - The bound is two upstreams, counting those that were already running the request when the first crash was reported.
 *   Copies dispatched elsewhere before the report arrived cannot be recalled. trialOwner() names the one holder that
 *   runs the trial; the others refuse or forward.
 *
 * Health: a crash counts against its upstream unless a suspect from an earlier crash of another upstream was in flight.
 * On a conviction the earlier crash is retracted.
 *
 * Memory is bounded. A full table drops the oldest suspect of the source (organisation) with the most suspects, so one
 * organisation that produces many fingerprints displaces its own first. Convictions are dropped before their time only
 * when the table holds nothing else. Each new suspect costs an attacker a share of a crashed upstream, since one crash
 * yields no more suspects than the upstream has slots; displacing a conviction costs two crashes for each entry.
 *
 * Limits: a trial is alone among the requests of this instance. A request that another instance sends to the same
 * upstream can crash it during the trial; the bystander is then refused for the conviction time or until a copy of it
 * completes. Clearances are remembered for clearanceRetention; a report delayed for longer makes a cleared fingerprint a
 * suspect again, which costs one exclusive trial.
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
    Duration suspicionTimeout = std::chrono::minutes{2}; ///< a suspect not seen at a crash again is forgotten
    Duration blockDuration = std::chrono::minutes{10}; ///< then the fingerprint is forgotten
    Duration clearanceRetention = std::chrono::seconds{15}; ///< guards against late reports from before the clearance
    Duration trialTimeout = std::chrono::seconds{60}; ///< a trial whose end is not reported ends by itself
};

/** A request that was in flight when its upstream crashed. */
struct InFlightRequest {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisationHash = 0; ///< stable hash of the organisation

    bool operator==(const InFlightRequest &) const = default;
};

/** How a request may be run. */
enum class SuspectStatus {
    Unrestricted, ///< as usual
    Exclusive, ///< only alone, through beginTrial()
    TrialRunning, ///< a trial is running here; refuse as not run, waiting helps
    Refused, ///< blocked; refuse as not run
};

/** What a crash means. */
struct CrashAttribution {
    bool countsAgainstUpstream = true; ///< report it to health
    std::vector<UpstreamId> retracted; ///< upstreams whose earlier crash was caused by a request now blocked
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
    SuspectStatus statusOf(TimePoint now, std::uint64_t fingerprint) const;

    /** Upstreams that it was present at when they crashed; a trial must avoid them. */
    std::vector<UpstreamId> crashedUpstreams(TimePoint now, std::uint64_t fingerprint) const;

    /** Reserves the exclusive trial. False unless the status is Exclusive and the upstream is a new one. */
    bool beginTrial(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream);

    /** Ends a trial that neither completed nor crashed. */
    void endTrial(std::uint64_t fingerprint);

    /** Whether a trial runs on the upstream, so that nothing else may be sent there. */
    bool reservedForTrial(TimePoint now, const UpstreamId &upstream) const;

    /** Merges a report of another holder. Returns upstreams whose crashes are retracted by a conviction. */
    std::vector<UpstreamId> onReport(TimePoint now, const SuspectReport &report);

    /** Forgets what has expired. */
    void onTick(TimePoint now);

    std::size_t size() const; ///< fingerprints in the table

private:
    struct Entry {
        std::uint64_t organisationHash = 0;
        std::uint32_t clearances = 0;
        std::vector<UpstreamId> upstreams; ///< at most two; empty: cleared
        TimePoint expires; ///< end of suspicion, conviction or memory of the clearance

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
    std::vector<Trial> m_trials; ///< few: at most one for each upstream
};

/** The holder that runs the exclusive trial of a fingerprint. `holders` is not empty. */
InstanceId trialOwner(std::uint64_t fingerprint, const std::vector<InstanceId> &holders);

} // namespace jackdawdoor::idempotency
