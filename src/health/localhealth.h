/** A holder's view of the health of one service's upstreams. */
#pragma once

#include "contract/policy.h"
#include "health/evidencereport.h"
#include "health/floorguard.h"
#include "health/graydetector.h"
#include "health/observation.h"
#include "health/probation.h"
#include "health/upstreamstate.h"
#include "health/upstreamsubset.h"
#include "health/verdict.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::health {

/** A decision for the log. */
struct HealthChange {
    UpstreamId upstream;
    std::string change; ///< "eject", "return" or "keep"
    std::string reason; ///< the evidence, and the floor when it prevented the ejection

    bool operator==(const HealthChange &) const = default;
};

/** Ejects upstreams on this holder's evidence and on the coordinator's verdicts, within the floor. */
class LocalHealth
{
public:
    LocalHealth(const contract::ServicePolicy &policy, InstanceId self, std::uint64_t policyVersion);

    /** An attempt is sent. freshConnection: it must open a new connection. */
    void attemptStarted(TimePoint now,
                        const UpstreamId &upstream,
                        std::uint64_t attempt,
                        const OperationId &operation,
                        AttemptKind kind,
                        bool freshConnection);

    /** The head of a correct answer arrived. Optional; without it the latency counts when the whole answer is recorded, and an
     * answer with a long body counts as slow until then.
     */
    void headArrived(TimePoint now, const UpstreamId &upstream, std::uint64_t attempt);

    /** Records an attempt's outcome; ignores unknown upstreams. Resulting changes are returned here or by the next onTick. */
    std::vector<HealthChange> record(TimePoint now, const Observation &observation);

    /** Evaluates requests in progress and runs probation; to be called every 100 ms. */
    std::vector<HealthChange> onTick(TimePoint now);

    UpstreamState stateOf(TimePoint now, const UpstreamId &upstream) const;

    /** Expected time to the first byte. A failing upstream never counts as faster than the median. */
    Duration expectedLatency(const OperationId &operation, const UpstreamId &upstream) const;

    /** True when the evidence changed so that a report should be sent to the coordinator at once. */
    bool evidenceUrgent() const;
    EvidenceReport takeEvidence(TimePoint now);
    std::vector<HealthChange> applyVerdicts(TimePoint now, const Verdicts &verdicts);

    void setDraining(const UpstreamId &upstream, bool draining);
    void setLeaving(const UpstreamId &upstream);
    /** The upstream's process started: slow answers do not count during the cold start allowance. */
    void markStarted(TimePoint now, const UpstreamId &upstream);

    /** Switches to a later policy; keeps the state of upstreams that remain. */
    void adoptPolicy(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Number of upstreams that are neither ejected nor draining, leaving or cold. */
    int usableCount(TimePoint now) const;

private:
    struct Entry {
        explicit Entry(const contract::HealthPolicy &policy)
            : probation(policy)
        {
        }
        Probation probation;
        bool ejectedByFleet = false; ///< the coordinator owns the probation
        bool runsTrials = false; ///< the coordinator asked this holder to run the trials
        bool shouldEject = false; ///< the evidence suffices, whether or not the floor allows the ejection
        double severity = 0; ///< when it last got ordinary requests
        bool draining = false;
        bool leaving = false;
        std::optional<TimePoint> coldUntil;
        TimePoint confirmationUntil;
        TimePoint lastStarted;
        TimePoint lastVerdict;
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
        bool trialFailed = false;
        bool keptByFloor = false; ///< the floor kept it at the last decision
    };

    std::optional<std::size_t> indexOf(const UpstreamId &upstream) const;
    static bool isCold(TimePoint now, const Entry &entry);
    static bool isAvailable(TimePoint now, const Entry &entry);
    static bool isTrialAllowed(TimePoint now, const Entry &entry);
    void finishTrial(TimePoint now, std::size_t index, bool good, std::vector<HealthChange> &changes);
    void endEjection(TimePoint now, std::size_t index, const std::string &reason, std::vector<HealthChange> &changes);
    void updateShouldEject(TimePoint now, std::size_t index);
    void applyFloor(TimePoint now, std::vector<HealthChange> &changes);
    void applyVerdict(TimePoint now, const Verdict &verdict, std::vector<HealthChange> &changes);
    void updateSubset(TimePoint now);
    std::string describe(TimePoint now, std::size_t index) const;

    contract::ServicePolicy m_policy;
    InstanceId m_self;
    std::uint64_t m_policyVersion;
    absl::flat_hash_map<UpstreamId, std::size_t> m_index;
    GrayDetector m_detector;
    FloorGuard m_floor;
    std::vector<Entry> m_entries;
    UpstreamSubset m_subset;
    int m_consecutiveChecks = 0; ///< consecutive attempts at upstreams that need a check
    bool m_urgent = false;
};

} // namespace jackdawdoor::health
