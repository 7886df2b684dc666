#include "idempotency/crashsuspects.h"

#include "base/stablehash.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace jackdawdoor::idempotency {

namespace {

/** A fingerprint is blocked after crashes of this many upstreams. */
constexpr std::size_t allowedUpstreams = 2;

SuspectReport
reportOf(std::uint64_t fingerprint, std::uint64_t organisationHash, std::uint32_t clearances, const std::vector<UpstreamId> &upstreams)
{
    return SuspectReport{fingerprint, organisationHash, clearances, upstreams};
}

} // namespace

CrashSuspects::CrashSuspects(SuspectLimits limits)
    : m_limits(limits)
{
    m_limits.maximumEntries = std::max<std::size_t>(m_limits.maximumEntries, 1);
}

bool CrashSuspects::Entry::isBlocked() const
{
    return upstreams.size() >= allowedUpstreams;
}

CrashAttribution CrashSuspects::onCrash(TimePoint now, const UpstreamId &upstream, const std::vector<InFlightRequest> &inFlight)
{
    CrashAttribution attribution;
    for (const InFlightRequest &request : inFlight) {
        if (suspectedElsewhere(now, request.fingerprint, upstream)) {
            attribution.countsAgainstUpstream = false;
        }
    }
    std::set<std::uint64_t> seen;
    for (const InFlightRequest &request : inFlight) {
        endTrial(request.fingerprint);
        // A suspect from an earlier crash explains this one; the other requests in flight are unrelated.
        const bool unrelated = !attribution.countsAgainstUpstream && !suspectedElsewhere(now, request.fingerprint, upstream);
        if (unrelated || !seen.insert(request.fingerprint).second) {
            continue;
        }
        Entry &entry = findOrAdd(now, request.fingerprint, request.organisationHash);
        const std::vector<UpstreamId> before = entry.upstreams;
        if (!addUpstream(now, entry, upstream)) {
            continue;
        }
        if (entry.isBlocked()) {
            attribution.retracted.insert(attribution.retracted.end(), before.begin(), before.end());
        }
        attribution.reports.push_back(reportOf(request.fingerprint, entry.organisationHash, entry.clearances, entry.upstreams));
    }
    return attribution;
}

std::optional<SuspectReport> CrashSuspects::onComplete(TimePoint now, std::uint64_t fingerprint)
{
    endTrial(fingerprint);
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.upstreams.empty()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    entry.upstreams.clear();
    ++entry.clearances;
    entry.expires = now + m_limits.clearanceRetention;
    return reportOf(fingerprint, entry.organisationHash, entry.clearances, entry.upstreams);
}

SuspectStatus CrashSuspects::statusOf(TimePoint now, std::uint64_t fingerprint) const
{
    const Entry *entry = findLive(now, fingerprint);
    if (entry == nullptr || entry->upstreams.empty()) {
        return SuspectStatus::Unrestricted;
    }
    if (entry->isBlocked()) {
        return SuspectStatus::Refused;
    }
    return trialRunning(now, fingerprint) ? SuspectStatus::TrialRunning : SuspectStatus::Exclusive;
}

std::vector<UpstreamId> CrashSuspects::crashedUpstreams(TimePoint now, std::uint64_t fingerprint) const
{
    const Entry *entry = findLive(now, fingerprint);
    return entry == nullptr ? std::vector<UpstreamId>{} : entry->upstreams;
}

bool CrashSuspects::beginTrial(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream)
{
    const bool crashedBefore = !suspectedElsewhere(now, fingerprint, upstream);
    if (statusOf(now, fingerprint) != SuspectStatus::Exclusive || crashedBefore || reservedForTrial(now, upstream)) {
        return false;
    }
    std::erase_if(m_trials, [&](const Trial &trial) {
        return trial.ends <= now;
    });
    m_trials.push_back({fingerprint, upstream, now + m_limits.trialTimeout});
    return true;
}

void CrashSuspects::endTrial(std::uint64_t fingerprint)
{
    std::erase_if(m_trials, [fingerprint](const Trial &trial) {
        return trial.fingerprint == fingerprint;
    });
}

bool CrashSuspects::reservedForTrial(TimePoint now, const UpstreamId &upstream) const
{
    return std::any_of(m_trials.begin(), m_trials.end(), [&](const Trial &trial) {
        return trial.upstream == upstream && now < trial.ends;
    });
}

bool CrashSuspects::trialRunning(TimePoint now, std::uint64_t fingerprint) const
{
    return std::any_of(m_trials.begin(), m_trials.end(), [&](const Trial &trial) {
        return trial.fingerprint == fingerprint && now < trial.ends;
    });
}

std::vector<UpstreamId> CrashSuspects::onReport(TimePoint now, const SuspectReport &report)
{
    const Entry *known = findLive(now, report.fingerprint);
    if (known != nullptr && report.clearances < known->clearances) {
        return {};
    }
    Entry &entry = findOrAdd(now, report.fingerprint, report.organisationHash);
    if (report.clearances > entry.clearances) {
        entry.clearances = report.clearances;
        entry.upstreams.clear();
        entry.expires = now + m_limits.clearanceRetention;
    }
    bool changed = false;
    for (const UpstreamId &upstream : report.upstreams) {
        changed = addUpstream(now, entry, upstream) || changed;
    }
    return changed && entry.isBlocked() ? entry.upstreams : std::vector<UpstreamId>{};
}

void CrashSuspects::onTick(TimePoint now)
{
    absl::erase_if(m_entries, [now](const auto &entry) {
        return entry.second.expires <= now;
    });
    std::erase_if(m_trials, [now](const Trial &trial) {
        return trial.ends <= now;
    });
}

std::size_t CrashSuspects::size() const
{
    return m_entries.size();
}

const CrashSuspects::Entry *CrashSuspects::findLive(TimePoint now, std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && now < found->second.expires ? &found->second : nullptr;
}

CrashSuspects::Entry &CrashSuspects::findOrAdd(TimePoint now, std::uint64_t fingerprint, std::uint64_t organisationHash)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && now < found->second.expires) {
        return found->second;
    }
    if (found == m_entries.end() && m_entries.size() >= m_limits.maximumEntries) {
        evictEntry(now);
    }
    Entry &entry = m_entries[fingerprint];
    entry = Entry{};
    entry.organisationHash = organisationHash;
    entry.expires = now + m_limits.clearanceRetention;
    return entry;
}

bool CrashSuspects::suspectedElsewhere(TimePoint now, std::uint64_t fingerprint, const UpstreamId &upstream) const
{
    const Entry *entry = findLive(now, fingerprint);
    if (entry == nullptr) {
        return false;
    }
    return entry->isBlocked() || (!entry->upstreams.empty() && entry->upstreams.front() != upstream);
}

bool CrashSuspects::addUpstream(TimePoint now, Entry &entry, const UpstreamId &upstream)
{
    const bool known = std::find(entry.upstreams.begin(), entry.upstreams.end(), upstream) != entry.upstreams.end();
    if (known || entry.isBlocked()) {
        return false;
    }
    entry.upstreams.push_back(upstream);
    entry.expires = now + (entry.isBlocked() ? m_limits.blockDuration : m_limits.suspicionTimeout);
    return true;
}

void CrashSuspects::evictEntry(TimePoint now)
{
    m_entries.erase(evictionCandidate(now));
}

CrashSuspects::Entries::iterator CrashSuspects::evictionCandidate(TimePoint now)
{
    absl::flat_hash_map<std::uint64_t, std::size_t> suspectsOfOrganisation;
    for (const auto &[fingerprint, entry] : m_entries) {
        suspectsOfOrganisation[entry.organisationHash] += entry.isBlocked() ? 0 : 1;
    }
    // Evicted first: expired and cleared entries, then suspects of the organisation with the most, then blocked ones; oldest first.
    const auto rank = [&](const Entry &entry) {
        const bool removable = entry.expires <= now || entry.upstreams.empty();
        const std::size_t others = m_entries.size() - suspectsOfOrganisation[entry.organisationHash];
        return std::make_tuple(!removable, entry.isBlocked(), others, entry.expires);
    };
    return std::min_element(m_entries.begin(), m_entries.end(), [&rank](const auto &left, const auto &right) {
        return rank(left.second) < rank(right.second);
    });
}

InstanceId trialOwner(std::uint64_t fingerprint, const std::vector<InstanceId> &holders)
{
    const std::string key = std::to_string(fingerprint);
    return *std::max_element(holders.begin(), holders.end(), [&key](const InstanceId &left, const InstanceId &right) {
        const std::uint64_t leftWeight = rendezvousWeight(key, left.value);
        const std::uint64_t rightWeight = rendezvousWeight(key, right.value);
        return leftWeight != rightWeight ? leftWeight < rightWeight : left.value < right.value;
    });
}

} // namespace jackdawdoor::idempotency
