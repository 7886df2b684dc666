/** Fleet-wide ejection decisions of a service's coordinator. */
#pragma once

#include "contract/policy.h"
#include "health/evidencereport.h"
#include "health/floorguard.h"
#include "health/probation.h"
#include "health/verdict.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::health {

/** Merges the holders' evidence, ejects fleet-wide when two instances agree, and runs the probation of the upstreams that it ejected. */
class FleetHealth
{
public:
    FleetHealth(const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** A holder's report; replaces its earlier one. Reports for another policy version are ignored. */
    void onEvidence(TimePoint now, const InstanceId &instance, const EvidenceReport &report);

    /** Upstreams that count as unusable for the floor: draining, leaving or cold ones. */
    void setUnavailable(const UpstreamId &upstream, bool unavailable);

    /** Switches to a later policy; keeps the verdicts on upstreams that remain. */
    void adoptPolicy(const contract::ServicePolicy &policy, std::uint64_t policyVersion);

    /** Returns all current verdicts, to be sent to all holders; to be called every 500 ms and after urgent evidence. */
    Verdicts evaluate(TimePoint now);

    /** Set when the floor prevented ejections in the last evaluate(). */
    const std::optional<FloorBound> &floorBound() const;

private:
    struct Report {
        UpstreamEvidence evidence;
        std::uint32_t recentGood = 0; ///< good answers since the last bad one, or since the confirmation was requested
    };
    struct Entry {
        explicit Entry(const contract::HealthPolicy &policy)
            : probation(policy)
        {
        }
        std::map<InstanceId, Report> reports;
        Probation probation;
        bool shouldEject = false;
        double severity = 0;
        InstanceId trialHolder;
        TimePoint trialHolderSince;
        std::optional<TimePoint> returnedAt;
        InstanceId confirmer;
        TimePoint confirmerSince;
        bool unavailable = false;
    };

    static bool isEjectedLocally(const UpstreamEvidence &evidence);
    void considerEjection(Entry &entry);
    void adoptEjection(TimePoint now, Entry &entry, const UpstreamEvidence &evidence);
    void mergeTrials(TimePoint now, Entry &entry, const InstanceId &instance, const UpstreamEvidence &evidence);
    void endEjection(TimePoint now, Entry &entry);
    void applyFloor(TimePoint now);
    std::optional<Verdict> verdictFor(TimePoint now, std::uint32_t index);
    InstanceId nextHolder(const InstanceId &previous, const Entry &entry) const;
    std::optional<InstanceId> chooseConfirmer(TimePoint now, Entry &entry);
    void removeSilentHolders(TimePoint now);

    contract::ServicePolicy m_policy;
    std::uint64_t m_policyVersion;
    FloorGuard m_floor;
    std::vector<Entry> m_entries;
    std::map<InstanceId, TimePoint> m_holders; ///< last report of each holder
    std::optional<FloorBound> m_bound;
};

} // namespace jackdawdoor::health
