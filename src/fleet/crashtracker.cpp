#include "fleet/crashtracker.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** An upstream found unreachable within this time after breaking a connection counts as crashed. */
constexpr Duration unreachableWindow = std::chrono::milliseconds{1500};
/** The same for an upstream whose entry is removed, which takes three missed reports of 1.5 s and a read of the store. */
constexpr Duration removalWindow = std::chrono::seconds{8};
/** Crashes are remembered this long, because callers keep retrying the request for a while. */
constexpr Duration recordLifetime = std::chrono::minutes{5};
/** Attempts that began earlier are not plausible in a record. A request may run for long before it crashes an upstream, and each
 * further crash extends the life of the record. */
constexpr Duration longestAge = std::chrono::hours{24};
/** A request is refused for this long after the crash of maximumCrashes upstreams. */
constexpr Duration initialRefusalTime = std::chrono::seconds{20};
/** Share of the refusal time by which that of two instances may differ. */
constexpr double refusalSpread = 0.5;
/** Bounds of the memory and of a message. */
constexpr std::size_t maximumRecords = 2000;
constexpr std::size_t maximumUpstreamsPerRecord = 16;

} // namespace

CrashTracker::CrashTracker(double spread)
    : m_spread(spread)
{
}

void CrashTracker::recordBrokenConnection(TimePoint now, std::uint64_t request, std::uint32_t upstream, std::optional<TimePoint> begun)
{
    const KnownInterval attempt = begun ? KnownInterval{Interval{*begun, now}} : std::nullopt;
    m_brokenConnections.emplace(upstream, BrokenConnection{now, request, attempt});
}

std::vector<std::uint64_t> CrashTracker::recordUnreachable(TimePoint now, std::uint32_t upstream)
{
    return attribute(now, upstream, unreachableWindow);
}

std::vector<std::uint64_t> CrashTracker::recordRemoved(TimePoint now, std::uint32_t upstream)
{
    return attribute(now, upstream, removalWindow);
}

std::vector<std::uint64_t> CrashTracker::attribute(TimePoint now, std::uint32_t upstream, Duration window)
{
    std::vector<std::uint64_t> attributed;
    const auto [first, last] = m_brokenConnections.equal_range(upstream);
    for (auto entry = first; entry != last;) {
        if (now - entry->second.at > window) {
            ++entry; // a proof with a longer window may follow
            continue;
        }
        Suspect &suspect = m_suspects[entry->second.request];
        if (addCrash(suspect, upstream, entry->second.attempt)) {
            attributed.push_back(entry->second.request);
            onChange(now, suspect);
        }
        entry = m_brokenConnections.erase(entry);
    }
    while (m_suspects.size() > maximumRecords) {
        removeOldest();
    }
    return attributed;
}

bool CrashTracker::addCrash(Suspect &suspect, std::uint32_t upstream, const KnownInterval &attempt)
{
    const auto known = suspect.upstreams.find(upstream);
    if (known == suspect.upstreams.end()) {
        const bool room = suspect.upstreams.size() < maximumUpstreamsPerRecord;
        return room && suspect.upstreams.emplace(upstream, attempt).second;
    }
    // Times that come from other instances are late by the time of the message, so the earliest ones are closest to the truth.
    KnownInterval &merged = known->second;
    if (!merged) {
        merged = attempt;
    } else if (attempt) {
        *merged = {std::min(merged->begun, attempt->begun), std::min(merged->lost, attempt->lost)};
    }
    return false;
}

std::size_t CrashTracker::countSuccessive(const std::map<std::uint32_t, KnownInterval> &upstreams)
{
    std::vector<Interval> attempts;
    for (const auto &[upstream, attempt] : upstreams) {
        if (attempt) {
            attempts.push_back(*attempt);
        }
    }
    const std::size_t unknown = upstreams.size() - attempts.size();
    std::sort(attempts.begin(), attempts.end(), [](const Interval &first, const Interval &second) {
        return first.lost < second.lost;
    });
    // Taking the attempt that was lost first, of those that may follow, makes the longest chain.
    std::size_t chain = 0;
    TimePoint lastLost{};
    for (const Interval &attempt : attempts) {
        if (chain == 0 || attempt.begun >= lastLost) {
            ++chain;
            lastLost = attempt.lost;
        }
    }
    return unknown + chain;
}

bool CrashTracker::isConsistent(const CrashRecord &record)
{
    const bool complete = record.attempts.empty() || record.attempts.size() == record.upstreams.size();
    return complete && std::all_of(record.attempts.begin(), record.attempts.end(), [](const auto &attempt) {
               return !attempt || (attempt->lost >= Duration::zero() && attempt->begun >= attempt->lost && attempt->begun <= longestAge);
           });
}

CrashTracker::KnownInterval CrashTracker::attemptOf(TimePoint now, const CrashRecord &record, std::size_t position)
{
    if (record.attempts.empty() || !record.attempts[position]) {
        return std::nullopt;
    }
    return Interval{now - record.attempts[position]->begun, now - record.attempts[position]->lost};
}

Duration CrashTracker::refusalTime(std::size_t crashes) const
{
    Duration time = initialRefusalTime;
    for (std::size_t count = maximumCrashes; count < crashes && time < recordLifetime; ++count) {
        time *= 2;
    }
    return std::min(recordLifetime, std::chrono::duration_cast<Duration>(time * (1 + refusalSpread * m_spread)));
}

void CrashTracker::onChange(TimePoint at, Suspect &suspect) const
{
    suspect.changed = std::max(suspect.changed, at);
    suspect.successiveCrashes = countSuccessive(suspect.upstreams);
    const bool refused = suspect.successiveCrashes >= maximumCrashes;
    // All crashes count for the time: repeats that were sent at once crash several upstreams in one step of the chain.
    suspect.refusedUntil = refused ? suspect.changed + refusalTime(suspect.upstreams.size()) : TimePoint{};
}

void CrashTracker::removeOldest()
{
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &first, const auto &second) {
        return first.second.changed < second.second.changed;
    });
    m_suspects.erase(oldest);
}

bool CrashTracker::recordAnswer(TimePoint now, std::uint64_t request)
{
    std::erase_if(m_brokenConnections, [request](const auto &entry) {
        return entry.second.request == request;
    });
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || found->second.upstreams.empty()) {
        return false;
    }
    found->second.upstreams.clear();
    ++found->second.clearances;
    onChange(now, found->second);
    return true;
}

void CrashTracker::recordAttempt(TimePoint now, std::uint64_t request)
{
    const auto found = m_suspects.find(request);
    if (found != m_suspects.end() && found->second.successiveCrashes >= maximumCrashes) {
        found->second.refusedUntil = now + refusalTime(found->second.upstreams.size());
    }
}

bool CrashTracker::merge(TimePoint now, const CrashRecord &record)
{
    const auto known = m_suspects.find(record.request);
    const bool outdated = known != m_suspects.end() && record.clearances < known->second.clearances;
    if (outdated || record.age < Duration::zero() || record.age > recordLifetime || !isConsistent(record)) {
        return false;
    }
    Suspect &suspect = m_suspects[record.request];
    bool changed = record.clearances > suspect.clearances;
    if (changed) {
        suspect.clearances = record.clearances;
        suspect.upstreams.clear();
    }
    for (std::size_t position = 0; position < record.upstreams.size(); ++position) {
        changed = addCrash(suspect, record.upstreams[position], attemptOf(now, record, position)) || changed;
    }
    // Better knowledge of the times can lengthen or shorten the chain.
    changed = changed || countSuccessive(suspect.upstreams) != suspect.successiveCrashes;
    if (changed) {
        onChange(now - record.age, suspect);
    }
    if (m_suspects.size() > maximumRecords) {
        removeOldest();
    }
    return changed;
}

bool CrashTracker::empty() const
{
    return m_suspects.empty() && m_brokenConnections.empty();
}

bool CrashTracker::refused(TimePoint now, std::uint64_t request) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && now < found->second.refusedUntil;
}

std::size_t CrashTracker::crashes(std::uint64_t request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? 0 : found->second.upstreams.size();
}

CrashRecord CrashTracker::toRecord(TimePoint now, std::uint64_t request, const Suspect &suspect)
{
    CrashRecord record{request, suspect.clearances, now - suspect.changed, {}};
    bool anyKnown = false;
    for (const auto &[upstream, attempt] : suspect.upstreams) {
        record.upstreams.push_back(upstream);
        std::optional<CrashedAttempt> ages;
        if (attempt) {
            ages = CrashedAttempt{now - attempt->begun, now - attempt->lost};
        }
        record.attempts.push_back(ages);
        anyKnown = anyKnown || ages;
    }
    if (!anyKnown) {
        record.attempts.clear(); // as earlier versions write it
    }
    return record;
}

CrashRecord CrashTracker::record(TimePoint now, std::uint64_t request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? CrashRecord{request, 0, {}, {}} : toRecord(now, request, found->second);
}

std::vector<CrashRecord> CrashTracker::records(TimePoint now, std::size_t maximum) const
{
    std::vector<CrashRecord> all;
    all.reserve(m_suspects.size());
    for (const auto &[request, suspect] : m_suspects) {
        all.push_back(toRecord(now, request, suspect));
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(maximum, all.size()));
    std::partial_sort(all.begin(), all.begin() + count, all.end(), [](const CrashRecord &first, const CrashRecord &second) {
        const bool firstRefused = first.upstreams.size() >= maximumCrashes;
        const bool secondRefused = second.upstreams.size() >= maximumCrashes;
        return firstRefused != secondRefused ? firstRefused : first.age < second.age;
    });
    all.resize(static_cast<std::size_t>(count));
    return all;
}

void CrashTracker::expire(TimePoint now)
{
    std::erase_if(m_brokenConnections, [now](const auto &entry) {
        return now - entry.second.at > removalWindow;
    });
    std::erase_if(m_suspects, [now](const auto &entry) {
        return now - entry.second.changed > recordLifetime;
    });
}

} // namespace jackdawdoor::fleet
