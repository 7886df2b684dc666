#include "health/localhealth.h"

#include <algorithm>
#include <cstdio>

namespace jackdawdoor::health {

namespace {

/** Without a verdict for this long, the holder runs the probation itself. */
constexpr Duration verdictTimeout = std::chrono::seconds{5};
/** Hysteresis: an ejected upstream is replaced by another one only when that is clearly worse, or the two would alternate. */
constexpr double replacementFactor = 1.5;
constexpr double replacementMargin = 0.5;

std::string shortNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", value);
    return text;
}

} // namespace

LocalHealth::LocalHealth(const contract::ServicePolicy &policy, InstanceId self, std::uint64_t policyVersion)
    : m_policy(policy)
    , m_self(std::move(self))
    , m_policyVersion(policyVersion)
    , m_detector(policy.health, policy.upstreams.size())
    , m_floor(policy.health.healthyFloor)
    , m_entries(policy.upstreams.size(), Entry{policy.health})
    , m_subset(policy, m_self)
{
    for (std::size_t index = 0; index < policy.upstreams.size(); ++index) {
        m_index.emplace(policy.upstreams[index].id, index);
    }
}

void LocalHealth::adoptPolicy(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion)
{
    const UpstreamMapping mapping = mapUpstreams(m_policy, policy);
    detail::rearrange(m_entries, mapping, Entry{policy.health});
    m_detector.adoptPolicy(now, policy.health, mapping);
    m_floor = FloorGuard(policy.health.healthyFloor);
    m_policy = policy;
    m_policyVersion = policyVersion;
    m_consecutiveChecks = 0;
    m_subset = UpstreamSubset(policy, m_self);
    m_index.clear();
    for (std::size_t index = 0; index < policy.upstreams.size(); ++index) {
        m_index.emplace(policy.upstreams[index].id, index);
        m_entries[index].probation.adoptPolicy(policy.health);
    }
}

void LocalHealth::attemptStarted(TimePoint now,
                                 const UpstreamId &upstream,
                                 std::uint64_t attempt,
                                 const OperationId &operation,
                                 AttemptKind kind,
                                 bool freshConnection)
{
    const auto index = indexOf(upstream);
    if (!index) {
        return;
    }
    auto &entry = m_entries[*index];
    entry.lastStarted = now;
    m_consecutiveChecks = m_detector.needsCheck(now, *index) ? m_consecutiveChecks + 1 : 0;
    m_detector.attemptStarted(now, *index, attempt, operation, freshConnection);
    if (kind == AttemptKind::Trial) {
        entry.probation.trialStarted(now);
    } else {
        m_subset.onRequest(now);
    }
}

void LocalHealth::headArrived(TimePoint now, const UpstreamId &upstream, std::uint64_t attempt)
{
    if (const auto index = indexOf(upstream)) {
        m_detector.headArrived(now, *index, attempt, isCold(now, m_entries[*index]));
    }
}

std::vector<HealthChange> LocalHealth::record(TimePoint now, const Observation &observation)
{
    std::vector<HealthChange> changes;
    const auto index = indexOf(observation.upstream);
    if (!index) {
        return changes;
    }
    auto &entry = m_entries[*index];
    const auto bad = m_detector.observe(now, *index, observation, isCold(now, entry));
    if (bad) {
        (*bad ? entry.bad : entry.good) += 1;
    }
    if (observation.kind == AttemptKind::Trial && entry.probation.isTrialRunning()) {
        // A failure on an existing connection is no evidence against an upstream in use, but a trial that ends so has failed.
        const bool failed = bad.value_or(isFailure(observation.outcome));
        if (!bad && !failed) {
            entry.probation.trialInconclusive(now);
        } else {
            finishTrial(now, *index, !failed, changes);
        }
    }
    updateShouldEject(now, *index);
    applyFloor(now, changes);
    return changes;
}

std::vector<HealthChange> LocalHealth::onTick(TimePoint now)
{
    std::vector<HealthChange> changes;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto &entry = m_entries[index];
        if (entry.ejectedByFleet && now - entry.lastVerdict > verdictTimeout) {
            entry.ejectedByFleet = false;
            entry.runsTrials = false;
        }
        if (entry.probation.hasTrialExpired(now)) {
            finishTrial(now, index, false, changes);
        }
        if (!entry.ejectedByFleet && entry.probation.isTrialOverdue(now)) {
            endEjection(now, index, "no idempotent request arrived to use as a trial", changes);
        }
        updateShouldEject(now, index);
    }
    applyFloor(now, changes);
    updateSubset(now);
    return changes;
}

void LocalHealth::updateSubset(TimePoint now)
{
    std::vector<bool> usable;
    usable.reserve(m_entries.size());
    for (const auto &entry : m_entries) {
        usable.push_back(isAvailable(now, entry) && !entry.probation.isEjected() && !entry.keptByFloor);
    }
    m_subset.update(now, usable);
}

void LocalHealth::finishTrial(TimePoint now, std::size_t index, bool good, std::vector<HealthChange> &changes)
{
    auto &entry = m_entries[index];
    const bool passed = entry.probation.trialFinished(now, good);
    if (!good) {
        entry.trialFailed = true;
        m_urgent = m_urgent || entry.ejectedByFleet;
        return;
    }
    if (!passed) {
        return;
    }
    if (entry.ejectedByFleet) {
        m_urgent = true;
        return;
    }
    endEjection(now, index, "passed its probation trials", changes);
}

void LocalHealth::endEjection(TimePoint now, std::size_t index, const std::string &reason, std::vector<HealthChange> &changes)
{
    auto &entry = m_entries[index];
    entry.shouldEject = false;
    entry.ejectedByFleet = false;
    entry.runsTrials = false;
    m_detector.reset(index);
    if (entry.probation.isEjected()) {
        entry.probation.endEjection(now);
        m_urgent = true;
        changes.push_back({m_policy.upstreams[index].id, "return", reason});
    }
}

void LocalHealth::updateShouldEject(TimePoint now, std::size_t index)
{
    auto &entry = m_entries[index];
    if (entry.probation.isEjected()) {
        return;
    }
    if (entry.shouldEject && !entry.ejectedByFleet && !m_detector.hasEvidence(now, index)) {
        entry.shouldEject = false;
    }
    if (!entry.shouldEject && m_detector.isGray(now, index)) {
        entry.shouldEject = true;
    }
    if (entry.shouldEject && !entry.ejectedByFleet) {
        entry.severity = m_detector.score(now, index).severity;
    }
}

void LocalHealth::applyFloor(TimePoint now, std::vector<HealthChange> &changes)
{
    const bool nothingToDo = std::none_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
        return entry.shouldEject || entry.keptByFloor;
    });
    if (nothingToDo) {
        return;
    }
    std::vector<FloorCandidate> candidates;
    candidates.reserve(m_entries.size());
    for (const auto &entry : m_entries) {
        const bool ejected = entry.probation.isEjected();
        const double severity = ejected ? entry.severity * replacementFactor + replacementMargin : entry.severity;
        candidates.push_back({isAvailable(now, entry), entry.shouldEject, severity});
    }
    const auto decision = m_floor.decide(candidates);
    for (const auto index : decision.ejected) {
        auto &entry = m_entries[index];
        entry.keptByFloor = false;
        if (!entry.probation.isEjected()) {
            const auto reason = describe(now, index);
            entry.probation.eject(now);
            m_urgent = true;
            changes.push_back({m_policy.upstreams[index].id, "eject", reason});
        }
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const bool kept = std::binary_search(decision.bound.kept.begin(), decision.bound.kept.end(), index);
        auto &entry = m_entries[index];
        if (kept && !entry.keptByFloor) {
            changes.push_back({m_policy.upstreams[index].id, "keep", decision.bound.message() + "; " + describe(now, index)});
        }
        if (kept && entry.probation.isEjected()) {
            entry.probation.cancelEjection(now);
        }
        entry.keptByFloor = kept;
    }
}

void LocalHealth::setDraining(const UpstreamId &upstream, bool draining)
{
    if (const auto index = indexOf(upstream)) {
        m_entries[*index].draining = draining;
    }
}

void LocalHealth::setLeaving(const UpstreamId &upstream)
{
    if (const auto index = indexOf(upstream)) {
        m_entries[*index].leaving = true;
    }
}

void LocalHealth::markStarted(TimePoint now, const UpstreamId &upstream)
{
    if (const auto index = indexOf(upstream)) {
        auto &entry = m_entries[*index];
        entry.coldUntil = now + m_policy.health.coldStartAllowance;
        entry.draining = false;
        entry.leaving = false;
    }
}

int LocalHealth::usableCount(TimePoint now) const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [this, now](const Entry &entry) {
        return isAvailable(now, entry) && !entry.probation.isEjected();
    }));
}

std::optional<std::size_t> LocalHealth::indexOf(const UpstreamId &upstream) const
{
    const auto found = m_index.find(upstream);
    return found == m_index.end() ? std::nullopt : std::optional{found->second};
}

bool LocalHealth::isCold(TimePoint now, const Entry &entry)
{
    return entry.coldUntil && now < *entry.coldUntil;
}

bool LocalHealth::isAvailable(TimePoint now, const Entry &entry)
{
    return !entry.draining && !entry.leaving && !isCold(now, entry);
}

bool LocalHealth::isTrialAllowed(TimePoint now, const Entry &entry)
{
    return entry.probation.isTrialDue(now) && (!entry.ejectedByFleet || entry.runsTrials);
}

std::string LocalHealth::describe(TimePoint now, std::size_t index) const
{
    if (m_entries[index].ejectedByFleet) {
        return "verdict of the coordinator";
    }
    const auto score = m_detector.score(now, index);
    return "error score " + shortNumber(score.errors) + ", slowness score " + shortNumber(score.slowness) + ", threshold "
           + shortNumber(m_policy.health.ejectionThreshold) + ", bad answers " + std::to_string(score.badAnswers);
}

} // namespace jackdawdoor::health
