/** The part of LocalHealth that exchanges messages with the coordinator. */
#include "health/localhealth.h"

namespace jackdawdoor::health {

namespace {

/** How long this instance sends checks to an upstream whose fault it was asked to confirm. */
constexpr Duration confirmationTime = std::chrono::milliseconds{1500};
/** Scores below this are left out of reports. */
constexpr double reportableScore = 1.2;

} // namespace

bool LocalHealth::evidenceUrgent() const
{
    return m_urgent;
}

EvidenceReport LocalHealth::takeEvidence(TimePoint now)
{
    EvidenceReport report{m_policy.id, m_policyVersion, {}};
    m_urgent = false;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto &entry = m_entries[index];
        const auto score = m_detector.score(now, index);
        const bool ejected = entry.probation.isEjected();
        if (ejected || entry.shouldEject || now < entry.confirmationUntil || score.larger() >= reportableScore) {
            UpstreamEvidence evidence;
            evidence.upstream = static_cast<std::uint32_t>(index);
            evidence.score = m_detector.corroboration(now, index);
            evidence.severity = entry.shouldEject ? entry.severity : score.severity;
            evidence.good = entry.good;
            evidence.bad = entry.bad;
            evidence.ejectedLocally = entry.shouldEject && !entry.ejectedByFleet;
            evidence.ejectedByFleet = entry.ejectedByFleet;
            evidence.consecutiveEjections = entry.probation.consecutiveEjections();
            evidence.trialsPassed = entry.runsTrials ? entry.probation.trialsPassed() : 0;
            evidence.trialFailed = entry.runsTrials && entry.trialFailed;
            report.upstreams.push_back(evidence);
        }
        entry.good = 0;
        entry.bad = 0;
        entry.trialFailed = false;
    }
    return report;
}

std::vector<HealthChange> LocalHealth::applyVerdicts(TimePoint now, const Verdicts &verdicts)
{
    std::vector<HealthChange> changes;
    if (verdicts.policyVersion != m_policyVersion) {
        return changes;
    }
    for (const auto &verdict : verdicts.verdicts) {
        if (verdict.upstream < m_entries.size()) {
            applyVerdict(now, verdict, changes);
        }
    }
    applyFloor(now, changes);
    return changes;
}

void LocalHealth::applyVerdict(TimePoint now, const Verdict &verdict, std::vector<HealthChange> &changes)
{
    auto &entry = m_entries[verdict.upstream];
    switch (verdict.kind) {
    case VerdictKind::Confirmation:
        if (verdict.instance == m_self) {
            entry.confirmationUntil = now + confirmationTime;
        }
        return;
    case VerdictKind::Return:
        if (entry.ejectedByFleet) {
            endEjection(now, verdict.upstream, "verdict of the coordinator", changes);
        }
        return;
    case VerdictKind::Eject:
    case VerdictKind::Trial:
        entry.lastVerdict = now;
        entry.ejectedByFleet = true;
        entry.shouldEject = true;
        entry.severity = verdict.severity;
        entry.runsTrials = verdict.kind == VerdictKind::Trial && verdict.instance == m_self;
        applyFloor(now, changes);
        if (entry.probation.isEjected()) {
            entry.probation.resume(now, verdict.consecutiveEjections, verdict.remaining);
        }
        return;
    }
}

} // namespace jackdawdoor::health
