#include "limits/organisationquota.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::limits {

namespace {

/** An organisation without requests for this long has no bucket, and an instance without any sends no reports. */
constexpr Duration idleTime = std::chrono::seconds{60};
/** An instance that has been silent for longer is cut off. Two lost reports in a row must not look like a cut. With 400 ms, four
 * instances that were cut off at once exceeded the bound for an organisation at ten times its quota. */
constexpr Duration minimumVisibleTime = std::chrono::milliseconds{320};
/** The same in periods of reports, for fleets in which they are far apart. */
constexpr int visiblePeriods = 3;
/** An instance that has been silent for longer does not count any more. */
constexpr Duration knownTime = std::chrono::seconds{10};
/** Counters are repeated for this long after their last change. */
constexpr Duration repeatTime = std::chrono::seconds{1};
/** Time from a report to its application at all receivers. */
constexpr Duration transmissionTime = std::chrono::milliseconds{10};
constexpr Duration shareRefreshPeriod = std::chrono::milliseconds{20};
/** Counters that began within this time are charged from zero; older ones were counted before they were known here. */
constexpr std::int64_t newCounterMilliseconds = 1000;
/** Bound of the memory: organisations with a bucket, and counters known of one instance. */
constexpr std::size_t maximumBuckets = 20000;
/** An instance cannot admit more than this multiple of the quota since its last report. */
constexpr double plausibleFactor = 2;
constexpr double plausibleSlack = 40; ///< requests
constexpr double plausibleAskedPerSecond = 1e6;
constexpr std::int64_t maximumCount = std::int64_t{1} << 52;
/** Retry-After: bounds and random lengthening, so that callers do not come back at the same time. */
constexpr Duration minimumRetryAfter = std::chrono::milliseconds{250};
constexpr Duration maximumRetryAfter = std::chrono::seconds{30};
constexpr double retryAfterJitter = 0.5;

bool wellFormed(const QuotaItem &item, const QuotaReport &report)
{
    const auto count = [](std::int64_t value) {
        return value >= 0 && value <= maximumCount;
    };
    return count(item.started) && count(report.uptime) && item.started <= report.uptime && count(item.admitted) && count(item.givenBack)
           && count(item.asked) && item.givenBack <= item.admitted && item.admitted <= item.asked && std::isfinite(item.balance);
}

} // namespace

OrganisationQuota::OrganisationQuota(TimePoint now, std::uint64_t seed, LimitLookup limitOf)
    : m_start(now)
    , m_knownSince(now)
    , m_random(seed)
    , m_limitOf(std::move(limitOf))
    , m_lastAsked(now - idleTime)
    , m_lastHeard(now)
{
}

std::int64_t OrganisationQuota::uptime(TimePoint now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_start).count();
}

QuotaBucket *OrganisationQuota::bucketFor(TimePoint now, std::uint64_t key, const QuotaLimit &limit)
{
    auto found = m_buckets.find(key);
    if (found == m_buckets.end()) {
        if (m_buckets.size() >= maximumBuckets) {
            return nullptr;
        }
        found = m_buckets.try_emplace(key, now, limit, now - m_knownSince).first;
    }
    found->second.refill(now, limit, visibleShare(now));
    return &found->second;
}

QuotaDecision OrganisationQuota::admit(TimePoint now, std::uint64_t key, const QuotaLimit &limit)
{
    QuotaDecision decision;
    if (!(limit.requestsPerSecond > 0)) {
        return decision;
    }
    QuotaBucket *bucket = bucketFor(now, key, limit);
    if (bucket == nullptr) {
        return decision;
    }
    m_lastAsked = now;
    bucket->ask(now, uptime(now));
    decision.admitted = uniform(m_random) < bucket->admissionProbability(m_period + transmissionTime);
    if (decision.admitted) {
        bucket->admit();
    } else {
        const double lengthening = 1 + retryAfterJitter * uniform(m_random);
        const Duration wait = std::clamp(bucket->timeUntilToken(), minimumRetryAfter, maximumRetryAfter);
        decision.retryAfter = fromSeconds(toSeconds(wait) * lengthening);
    }
    if (bucket->urgent(m_peers.size() + 1) && (m_urgent.empty() || m_urgent.back() != key) && m_urgent.size() < maximumBuckets) {
        m_urgent.push_back(key);
    }
    decision.balance = bucket->balance();
    decision.reportAge = m_peers.empty() ? Duration::zero() : now - m_lastHeard;
    return decision;
}

void OrganisationQuota::giveBack(TimePoint now, std::uint64_t key)
{
    const auto found = m_buckets.find(key);
    if (found != m_buckets.end()) {
        found->second.refill(now, found->second.limit(), visibleShare(now));
        found->second.giveBack(now);
    }
}

int OrganisationQuota::receive(TimePoint now, const InstanceRef &from, const QuotaReport &report)
{
    const auto [position, isNew] = m_peers.try_emplace(from.id);
    Peer &peer = position->second;
    if (!isNew && from.incarnation < peer.incarnation) {
        return 0;
    }
    if (isNew || from.incarnation > peer.incarnation) {
        peer = Peer{};
        peer.incarnation = from.incarnation;
        peer.heard = now;
    }
    if (now - peer.heard > visibleTime()) {
        peer.returned = now;
        peer.silence = now - peer.heard;
    }
    peer.heard = now;
    m_lastHeard = now;
    if (report.sequence > peer.sequence) {
        peer.sequence = report.sequence;
        peer.active = report.active;
    }
    int invalid = 0;
    for (const QuotaItem &item : report.items) {
        invalid += apply(now, peer, report, item) ? 0 : 1;
    }
    return invalid;
}

bool OrganisationQuota::apply(TimePoint now, Peer &peer, const QuotaReport &report, const QuotaItem &item)
{
    const QuotaLimit limit = m_limitOf(item.key);
    if (!wellFormed(item, report) || !(limit.requestsPerSecond > 0)) {
        return false;
    }
    const auto known = peer.counters.find(item.key);
    const bool continues = known != peer.counters.end() && known->second.item.started == item.started;
    if (known != peer.counters.end() && (report.sequence <= known->second.sequence || item.started < known->second.item.started)) {
        return true; // late or repeated
    }
    const bool begins = report.uptime - item.started <= newCounterMilliseconds;
    const QuotaItem before = continues ? known->second.item : begins ? QuotaItem{} : item;
    const double admitted = static_cast<double>((item.admitted - item.givenBack) - (before.admitted - before.givenBack));
    const double asked = static_cast<double>(item.asked - before.asked);
    const double seconds = continues ? toSeconds(now - known->second.at) : toSeconds(std::chrono::milliseconds{newCounterMilliseconds});
    const double plausible = plausibleFactor * (limit.burst + limit.requestsPerSecond * (seconds + 1)) + plausibleSlack;
    if (item.admitted < before.admitted || item.givenBack < before.givenBack || asked < 0 || admitted > plausible
        || asked > plausibleAskedPerSecond * (seconds + 1)) {
        return false;
    }
    QuotaBucket *bucket = bucketFor(now, item.key, limit);
    if (bucket == nullptr || (!continues && peer.counters.size() >= maximumBuckets)) {
        return true;
    }
    // While the instance was not heard from, its part of the quota was not used here, except at the beginning.
    const Duration visible = visibleTime();
    // The first report after the silence may lack this item.
    const bool silent = continues && known->second.at < peer.returned;
    const double part = silent ? std::min(1.0, toSeconds(visible) / toSeconds(peer.silence)) : 1.0;
    bucket->charge(now, admitted * part, asked * part);
    bucket->approach(item.balance);
    peer.counters[item.key] = {item, report.sequence, now};
    return true;
}

void OrganisationQuota::setServing(TimePoint now, bool serving)
{
    if (serving && !m_serving) {
        for (auto &[key, bucket] : m_buckets) {
            bucket.resetKnowledge();
        }
        m_knownSince = now;
    }
    m_serving = serving;
}

/** An instance that is silent for longer counts as cut off. */
Duration OrganisationQuota::visibleTime() const
{
    // Without callers this instance gets only the reports of small fleets.
    return m_serving ? std::max(minimumVisibleTime, visiblePeriods * m_period) : visiblePeriods * fullQuotaPeriod;
}

void OrganisationQuota::forget(const InstanceId &instance)
{
    const auto found = m_peers.find(instance);
    if (found != m_peers.end()) {
        found->second.active = false;
    }
}

bool OrganisationQuota::active(TimePoint now) const
{
    return now - m_lastAsked < idleTime;
}

std::vector<QuotaReport> OrganisationQuota::takeReport(TimePoint now, std::size_t receivers)
{
    m_period = std::max(minimumQuotaPeriod, fromSeconds(static_cast<double>(receivers) / maximumQuotaDatagramsPerSecond));
    const Duration sinceLast = now - m_lastReport;
    if (!m_serving) {
        return sinceLast < fullQuotaPeriod ? std::vector<QuotaReport>{} : takeQuietReport(now);
    }
    if (!active(now) || sinceLast < m_period || (m_urgent.empty() && sinceLast < calmQuotaPeriod)) {
        return {};
    }
    m_lastReport = now;
    const bool full = now - m_lastFullReport >= fullQuotaPeriod;
    m_lastFullReport = full ? now : m_lastFullReport;
    const std::vector<QuotaItem> urgent = takeUrgentItems(now);
    return reportOf(now, full ? changedItems(now) : urgent, true);
}

/** Returns the requests that an instance without callers has had. */
std::vector<QuotaReport> OrganisationQuota::takeQuietReport(TimePoint now)
{
    m_urgent.clear();
    const std::vector<QuotaItem> items = changedItems(now);
    if (items.empty()) {
        return {};
    }
    m_lastReport = now;
    return reportOf(now, items, false);
}

std::vector<QuotaItem> OrganisationQuota::takeUrgentItems(TimePoint now)
{
    std::sort(m_urgent.begin(), m_urgent.end());
    m_urgent.erase(std::unique(m_urgent.begin(), m_urgent.end()), m_urgent.end());
    std::vector<QuotaItem> items;
    for (const std::uint64_t key : m_urgent) {
        const auto found = m_buckets.find(key);
        if (found != m_buckets.end()) {
            found->second.refill(now, found->second.limit(), visibleShare(now));
            items.push_back(found->second.takeItem(key));
        }
    }
    m_urgent.clear();
    return items;
}

std::vector<QuotaItem> OrganisationQuota::changedItems(TimePoint now)
{
    std::vector<QuotaItem> items;
    for (auto &[key, bucket] : m_buckets) {
        if (bucket.changed() >= now - repeatTime) {
            bucket.refill(now, bucket.limit(), visibleShare(now));
            items.push_back(bucket.takeItem(key));
        }
    }
    return items;
}

std::vector<QuotaReport> OrganisationQuota::recentReport(TimePoint now)
{
    return reportOf(now, changedItems(now), active(now));
}

QuotaReport OrganisationQuota::farewell(TimePoint now)
{
    return reportOf(now, {}, false).front();
}

std::vector<QuotaReport> OrganisationQuota::reportOf(TimePoint now, const std::vector<QuotaItem> &items, bool active)
{
    std::vector<QuotaReport> parts(1 + (items.empty() ? 0 : (items.size() - 1) / maximumQuotaItems));
    for (QuotaReport &part : parts) {
        part = {++m_sequence, uptime(now), active, {}};
    }
    for (std::size_t index = 0; index < items.size(); ++index) {
        parts[index / maximumQuotaItems].items.push_back(items[index]);
    }
    return parts;
}

std::vector<InstanceId> OrganisationQuota::reporters() const
{
    std::vector<InstanceId> ids;
    for (const auto &[id, peer] : m_peers) {
        if (peer.active) {
            ids.push_back(id);
        }
    }
    return ids;
}

double OrganisationQuota::visibleShare(TimePoint now)
{
    if (now - m_shareAt < shareRefreshPeriod) {
        return m_share;
    }
    m_shareAt = now;
    const Duration longestSilence = visibleTime();
    double known = 1;
    double visible = 1;
    for (const auto &[id, peer] : m_peers) {
        const Duration silence = now - peer.heard;
        known += peer.active && silence <= knownTime ? 1 : 0;
        visible += peer.active && silence <= longestSilence ? 1 : 0;
    }
    m_share = visible / known;
    return m_share;
}

void OrganisationQuota::expire(TimePoint now)
{
    absl::erase_if(m_buckets, [now](const auto &entry) {
        return now - entry.second.lastAsked() > idleTime;
    });
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.heard > idleTime;
    });
    for (auto &[id, peer] : m_peers) {
        absl::erase_if(peer.counters, [now](const auto &entry) {
            return now - entry.second.at > idleTime;
        });
    }
}

std::size_t OrganisationQuota::buckets() const
{
    return m_buckets.size();
}

} // namespace jackdawdoor::limits
