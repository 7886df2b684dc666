#include "health/fleethealth.h"

#include "health/upstreammapping.h"

#include <algorithm>

namespace jackdawdoor::health {

namespace {

/** The evidence of a holder that has not reported for this long is discarded. */
constexpr Duration reportLifetime = std::chrono::seconds{3};
/** Fraction of the ejection threshold that a second instance's score must reach to confirm an ejection. */
constexpr double corroborationFraction = 0.5;
/** Good answers at the confirming instance that contradict the fault. */
constexpr std::uint32_t contradictingAnswers = 5;
/** A confirming instance without evidence by then is replaced by another one. */
constexpr Duration confirmationTimeout = std::chrono::seconds{3};
/** Delay before the next instance is asked after one contradicted the fault. */
constexpr Duration confirmationPause = std::chrono::seconds{10};
/** Return verdicts are repeated for this long, because a message may be lost. */
constexpr Duration returnAnnouncementTime = std::chrono::seconds{4};
/** A holder that has not finished its trials by then is replaced by another one. */
constexpr Duration trialTimeout = std::chrono::seconds{7};
/** Hysteresis: an ejected upstream is replaced by another one only when that is clearly worse. */
constexpr double replacementFactor = 1.5;
constexpr double replacementMargin = 0.5;

} // namespace

FleetHealth::FleetHealth(const contract::ServicePolicy &policy, std::uint64_t policyVersion)
    : m_policy(policy)
    , m_policyVersion(policyVersion)
    , m_floor(policy.health.healthyFloor)
    , m_entries(policy.upstreams.size(), Entry{policy.health})
{
}

void FleetHealth::adoptPolicy(const contract::ServicePolicy &policy, std::uint64_t policyVersion)
{
    detail::rearrange(m_entries, mapUpstreams(m_policy, policy), Entry{policy.health});
    for (Entry &entry : m_entries) {
        entry.probation.adoptPolicy(policy.health);
    }
    m_floor = FloorGuard(policy.health.healthyFloor);
    m_policy = policy;
    m_policyVersion = policyVersion;
    m_bound.reset();
}

void FleetHealth::onEvidence(TimePoint now, const InstanceId &instance, const EvidenceReport &report)
{
    if (report.policyVersion != m_policyVersion || report.service != m_policy.id) {
        return;
    }
    m_holders[instance] = now;
    std::vector<UpstreamEvidence> all(m_entries.size());
    for (const auto &evidence : report.upstreams) {
        if (evidence.upstream < all.size()) {
            all[evidence.upstream] = evidence;
        }
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto &entry = m_entries[index];
        auto &stored = entry.reports[instance];
        stored.evidence = all[index];
        stored.recentGood = all[index].bad > 0 ? 0 : stored.recentGood + all[index].good;
        adoptEjection(now, entry, all[index]);
        mergeTrials(now, entry, instance, all[index]);
    }
}

void FleetHealth::adoptEjection(TimePoint now, Entry &entry, const UpstreamEvidence &evidence)
{
    const bool recentlyReturned = entry.returnedAt && now - *entry.returnedAt < returnAnnouncementTime;
    if (!evidence.ejectedByFleet || entry.shouldEject || recentlyReturned) {
        return;
    }
    // A former coordinator ejected it when two instances agreed; the ejection stays in force until probation ends it.
    entry.shouldEject = true;
    entry.severity = evidence.severity;
    entry.probation.resume(now, evidence.consecutiveEjections, m_policy.health.probationDelay);
}

void FleetHealth::mergeTrials(TimePoint now, Entry &entry, const InstanceId &instance, const UpstreamEvidence &evidence)
{
    if (!entry.probation.isEjected()) {
        return;
    }
    // A failure counts from any holder, since a trial may end after the next holder was asked.
    if (evidence.trialFailed && entry.probation.isTrialDue(now)) {
        entry.probation.trialFinished(now, false);
        entry.trialHolder = {};
        return;
    }
    if (instance == entry.trialHolder && evidence.trialsPassed >= static_cast<std::uint32_t>(m_policy.health.probationTrials)) {
        endEjection(now, entry);
    }
}

void FleetHealth::endEjection(TimePoint now, Entry &entry)
{
    entry.shouldEject = false;
    entry.trialHolder = {};
    entry.returnedAt = now;
    entry.probation.endEjection(now);
    // Reports from before the return are no evidence against the upstream after it.
    for (auto &[instance, report] : entry.reports) {
        report = {};
    }
}

void FleetHealth::setUnavailable(const UpstreamId &upstream, bool unavailable)
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_policy.upstreams[index].id == upstream) {
            m_entries[index].unavailable = unavailable;
        }
    }
}

Verdicts FleetHealth::evaluate(TimePoint now)
{
    removeSilentHolders(now);
    for (auto &entry : m_entries) {
        considerEjection(entry);
        if (entry.probation.isTrialOverdue(now)) {
            endEjection(now, entry);
        }
    }
    applyFloor(now);
    Verdicts verdicts{m_policy.id, m_policyVersion, {}};
    for (std::uint32_t index = 0; index < m_entries.size(); ++index) {
        if (auto verdict = verdictFor(now, index)) {
            verdict->floorBound = m_bound.has_value();
            verdicts.verdicts.push_back(*verdict);
        }
    }
    return verdicts;
}

const std::optional<FloorBound> &FleetHealth::floorBound() const
{
    return m_bound;
}

bool FleetHealth::isEjectedLocally(const UpstreamEvidence &evidence)
{
    return evidence.ejectedLocally;
}

void FleetHealth::considerEjection(Entry &entry)
{
    if (entry.probation.isEjected()) {
        return;
    }
    int ejectingLocally = 0;
    int agreeing = 0;
    double severity = 0;
    for (const auto &[instance, report] : entry.reports) {
        const auto &evidence = report.evidence;
        ejectingLocally += isEjectedLocally(evidence) ? 1 : 0;
        if (isEjectedLocally(evidence) || evidence.score >= m_policy.health.ejectionThreshold * corroborationFraction) {
            ++agreeing;
            severity = std::max(severity, evidence.severity);
        }
    }
    entry.shouldEject = ejectingLocally >= 1 && agreeing >= 2;
    entry.severity = severity;
}

void FleetHealth::applyFloor(TimePoint now)
{
    std::vector<FloorCandidate> candidates;
    candidates.reserve(m_entries.size());
    for (const auto &entry : m_entries) {
        const bool ejected = entry.probation.isEjected();
        const double severity = ejected ? entry.severity * replacementFactor + replacementMargin : entry.severity;
        candidates.push_back({!entry.unavailable, entry.shouldEject, severity});
    }
    const auto decision = m_floor.decide(candidates);
    for (const auto index : decision.ejected) {
        auto &entry = m_entries[index];
        if (!entry.probation.isEjected()) {
            entry.probation.eject(now);
            entry.trialHolder = {};
        }
    }
    for (const auto index : decision.bound.kept) {
        auto &entry = m_entries[index];
        if (entry.probation.isEjected()) {
            entry.probation.cancelEjection(now);
            entry.returnedAt = now;
        }
    }
    m_bound = decision.bound.kept.empty() ? std::nullopt : std::optional{decision.bound};
}

std::optional<Verdict> FleetHealth::verdictFor(TimePoint now, std::uint32_t index)
{
    auto &entry = m_entries[index];
    Verdict verdict;
    verdict.upstream = index;
    verdict.consecutiveEjections = entry.probation.consecutiveEjections();
    verdict.severity = entry.severity;
    if (entry.probation.isEjected()) {
        verdict.remaining = entry.probation.remaining(now);
        if (!entry.probation.isTrialDue(now)) {
            return verdict;
        }
        if (entry.trialHolder.empty() || now - entry.trialHolderSince > trialTimeout) {
            entry.trialHolder = nextHolder(entry.trialHolder, entry);
            entry.trialHolderSince = now;
        }
        verdict.kind = VerdictKind::Trial;
        verdict.instance = entry.trialHolder;
        return verdict;
    }
    if (entry.returnedAt && now - *entry.returnedAt < returnAnnouncementTime) {
        verdict.kind = VerdictKind::Return;
        return verdict;
    }
    if (const auto instance = chooseConfirmer(now, entry)) {
        verdict.kind = VerdictKind::Confirmation;
        verdict.instance = *instance;
        return verdict;
    }
    return std::nullopt;
}

InstanceId FleetHealth::nextHolder(const InstanceId &previous, const Entry &entry) const
{
    // Holders that observed the fault run the trials: holders that never observed it could not tell that it has ended.
    std::vector<InstanceId> order;
    for (const auto &[instance, report] : entry.reports) {
        if (isEjectedLocally(report.evidence) || report.evidence.ejectedByFleet) {
            order.push_back(instance);
        }
    }
    if (order.empty()) {
        for (const auto &[instance, seen] : m_holders) {
            order.push_back(instance);
        }
    }
    if (order.empty()) {
        return {};
    }
    const auto after = std::upper_bound(order.begin(), order.end(), previous);
    return after == order.end() ? order.front() : *after;
}

std::optional<InstanceId> FleetHealth::chooseConfirmer(TimePoint now, Entry &entry)
{
    const auto ejecting = std::find_if(entry.reports.begin(), entry.reports.end(), [](const auto &item) {
        return isEjectedLocally(item.second.evidence);
    });
    if (ejecting == entry.reports.end() || m_holders.size() < 2) {
        entry.confirmer = {};
        return std::nullopt;
    }
    const auto confirmerReport = entry.reports.find(entry.confirmer);
    const bool contradicted = confirmerReport != entry.reports.end() && confirmerReport->second.recentGood >= contradictingAnswers;
    const auto timeout = contradicted ? confirmationPause : confirmationTimeout;
    if (entry.confirmer.empty() || now - entry.confirmerSince > timeout) {
        auto next = m_holders.upper_bound(entry.confirmer);
        next = next == m_holders.end() ? m_holders.begin() : next;
        if (next->first == ejecting->first) {
            ++next;
            next = next == m_holders.end() ? m_holders.begin() : next;
        }
        entry.confirmer = next->first;
        entry.confirmerSince = now;
        entry.reports[entry.confirmer].recentGood = 0;
        return entry.confirmer;
    }
    return contradicted ? std::nullopt : std::optional{entry.confirmer};
}

void FleetHealth::removeSilentHolders(TimePoint now)
{
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        if (now - holder->second <= reportLifetime) {
            ++holder;
            continue;
        }
        for (auto &entry : m_entries) {
            entry.reports.erase(holder->first);
        }
        holder = m_holders.erase(holder);
    }
}

} // namespace jackdawdoor::health
