#include "fleet/upstreamtable.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** The load of an instance expires after this time without a report. Tolerates the loss of five reports. */
constexpr Duration reportLifetime = std::chrono::milliseconds{1500};
/** An upstream that rejected a request is not used for this long, so that its queue can drain. */
constexpr Duration overloadBackoff = std::chrono::milliseconds{150};
/** Initial backoff of an unreachable upstream; doubles with each consecutive failure. */
constexpr Duration unreachableBackoff = std::chrono::milliseconds{400};
constexpr int maximumBackoffDoublings = 3;
/** Later failures in a row count as use. If a quarter of the instances cannot reach an upstream, three random ones all fail with a
 * probability of 1/64. */
constexpr int maximumUnreachedInRow = 2;
/** Outlasts the stale entry, which is removed after three missed reports, about 4.5 s after the last one. */
constexpr Duration misdirectedBackoff = std::chrono::seconds{5};
/** Other instances are told at once of a request to an upstream that was idle for longer. Below the idle times from which
 * upstreamchoice covers an upstream, by more than the interval of load reports. */
constexpr Duration noticedIdleTime = std::chrono::milliseconds{700};
/** Weight of the latest answer in the exponential moving average of the latency. */
constexpr double latencyWeight = 0.2;

} // namespace

std::uint32_t upstreamKey(const UpstreamId &id, std::int64_t incarnation)
{
    return static_cast<std::uint32_t>(stableHash(id.value, static_cast<std::uint64_t>(incarnation)));
}

std::vector<std::uint32_t> UpstreamTable::setEntries(TimePoint now, const std::vector<UpstreamEntry> &entries)
{
    std::map<UpstreamId, UpstreamRecord> records;
    for (const UpstreamEntry &entry : entries) {
        const auto known = m_records.find(entry.id);
        UpstreamRecord record;
        bool newReport = true;
        if (known != m_records.end() && known->second.entry.incarnation == entry.incarnation) {
            record = std::move(known->second);
            newReport = record.entry.sequence != entry.sequence;
        } else {
            record.key = upstreamKey(entry.id, entry.incarnation);
            record.entry = entry;
            restoreAnnouncements(record);
        }
        if (record.entry.address != entry.address) {
            record.unusableUntil = {};
        }
        // The remaining warm-up time counts from the report, so reapplying the same report must not restart it.
        if (newReport) {
            record.coldUntil = now + entry.warmupLeft;
        }
        record.entry = entry;
        records.emplace(entry.id, std::move(record));
    }
    std::vector<std::uint32_t> gone = goneWithoutNotice(records);
    rememberAnnouncements(now, records);
    m_records = std::move(records);
    m_byService.clear();
    m_byKey.clear();
    for (auto &[id, record] : m_records) {
        m_byService[record.entry.service].push_back(&record);
        m_byKey[record.key] = &record;
    }
    return gone;
}

std::vector<std::uint32_t> UpstreamTable::goneWithoutNotice(const std::map<UpstreamId, UpstreamRecord> &present) const
{
    std::vector<std::uint32_t> gone;
    for (const auto &[id, record] : m_records) {
        const auto found = present.find(id);
        const bool stays = found != present.end() && found->second.key == record.key;
        if (!stays && record.entry.status == UpstreamStatus::Ready && !record.announced.leaving) {
            gone.push_back(record.key);
        }
    }
    return gone;
}

const std::vector<UpstreamRecord *> &UpstreamTable::ofService(const ServiceId &service) const
{
    static const std::vector<UpstreamRecord *> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

UpstreamRecord *UpstreamTable::find(const UpstreamId &id, std::int64_t incarnation)
{
    const auto found = m_records.find(id);
    return found == m_records.end() || found->second.entry.incarnation != incarnation ? nullptr : &found->second;
}

UpstreamRecord *UpstreamTable::findKey(std::uint32_t key)
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

std::optional<NoticeItem> UpstreamTable::beginAttempt(TimePoint now, UpstreamRecord &record)
{
    const bool idle = now - record.lastUsed > noticedIdleTime;
    ++record.ownInFlight;
    ++record.unreportedBegun;
    record.lastUsed = now;
    FleetRateLimit &limit = record.announced.rateLimit;
    limit.count(now, 1);
    if (limit.active()) {
        // Repeated for instances that missed the announcement.
        return NoticeItem{record.key, 0, 1, limit.requestsPerSecond()};
    }
    return idle ? std::optional(NoticeItem{record.key, 0, 1}) : std::nullopt;
}

std::optional<NoticeItem>
UpstreamTable::endAttempt(TimePoint now, const UpstreamId &id, std::int64_t incarnation, AttemptOutcome outcome, Duration duration)
{
    UpstreamRecord *record = find(id, incarnation);
    if (record == nullptr) {
        return std::nullopt;
    }
    record->ownInFlight = std::max(0, record->ownInFlight - 1);
    applyOutcome(now, *record, outcome, duration);
    if (outcome == AttemptOutcome::Unreachable) {
        record->unreportedBegun = std::max(0, record->unreportedBegun - 1);
        recordUnreached(*record, 1);
        return NoticeItem{record->key, 0, 0, std::nullopt, false, 1};
    }
    if (outcome != AttemptOutcome::Abandoned && outcome != AttemptOutcome::Misdirected) {
        recordReached(now, *record);
    }
    return std::nullopt;
}

void UpstreamTable::recordReached(TimePoint now, UpstreamRecord &record)
{
    record.lastReached = now;
    record.unreachedInRow = 0;
}

/** A request that did not arrive does not count as use, so that an instance with another path to the upstream sends one. After a
 * few in a row the upstream is taken for gone, since each of them delays its caller. */
void UpstreamTable::recordUnreached(UpstreamRecord &record, int requests)
{
    record.unreachedInRow = std::min(record.unreachedInRow, maximumUnreachedInRow) + std::clamp(requests, 0, maximumUnreachedInRow + 1);
    if (record.unreachedInRow <= maximumUnreachedInRow) {
        record.lastUsed = std::min(record.lastUsed, record.lastReached);
    }
}

void UpstreamTable::applyOutcome(TimePoint now, UpstreamRecord &record, AttemptOutcome outcome, Duration duration)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        record.grayEstimate.addSuccesses(now, 1);
        ++record.unreportedSuccesses;
        record.consecutiveUnreachable = 0;
        record.meanLatencySeconds = record.meanLatencySeconds == 0
                                        ? toSeconds(duration)
                                        : record.meanLatencySeconds + latencyWeight * (toSeconds(duration) - record.meanLatencySeconds);
        return;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
        record.grayEstimate.addFailures(now, 1);
        return;
    case AttemptOutcome::NotRun:
        record.fullUntil = now + overloadBackoff;
        return;
    case AttemptOutcome::Misdirected:
        record.unusableUntil = now + misdirectedBackoff;
        return;
    case AttemptOutcome::Unreachable:
        recordUnreachable(now, record);
        return;
    case AttemptOutcome::Abandoned:
        return;
    }
}

void UpstreamTable::recordUnreachable(TimePoint now, UpstreamRecord &record)
{
    const int doublings = std::min(record.consecutiveUnreachable, maximumBackoffDoublings);
    record.unusableUntil = now + unreachableBackoff * (1 << doublings);
    ++record.consecutiveUnreachable;
}

void UpstreamTable::recordOverdue(TimePoint now, const UpstreamId &id, std::int64_t incarnation)
{
    if (UpstreamRecord *record = find(id, incarnation)) {
        record->grayEstimate.addFailures(now, 1);
    }
}

void UpstreamTable::applyMisdirectedNotice(TimePoint now, const MisdirectedNotice &notice)
{
    if (UpstreamRecord *record = findKey(notice.key)) {
        record->unusableUntil = now + misdirectedBackoff;
    }
}

void UpstreamTable::applyLoad(const PeerLoad &load, int sign)
{
    for (const LoadItem &item : load.items) {
        if (UpstreamRecord *record = findKey(item.key)) {
            record->otherInFlight = std::max(0, record->otherInFlight + sign * item.inFlight);
        }
    }
}

void UpstreamTable::applyLoadReport(TimePoint now, const InstanceId &from, const LoadReport &report)
{
    PeerLoad &load = m_peers[from];
    applyLoad(load, -1);
    load = {now, report.items};
    applyLoad(load, +1);
    for (const LoadItem &item : report.items) {
        if (UpstreamRecord *record = findKey(item.key)) {
            record->grayEstimate.addSuccesses(now, item.successes);
            record->lastUsed = item.begun > 0 ? now : record->lastUsed;
            if (item.successes > 0) {
                recordReached(now, *record);
            }
        }
    }
}

void UpstreamTable::expireReports(TimePoint now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.at <= reportLifetime) {
            ++peer;
            continue;
        }
        applyLoad(peer->second, -1);
        peer = m_peers.erase(peer);
    }
}

std::size_t UpstreamTable::reportingInstances() const
{
    return m_peers.size();
}

LoadReport UpstreamTable::takeOwnReport()
{
    LoadReport report;
    for (auto &[id, record] : m_records) {
        if (record.ownInFlight > 0 || record.unreportedSuccesses > 0 || record.unreportedBegun > 0) {
            report.items.push_back({record.key, record.ownInFlight, record.unreportedSuccesses, record.unreportedBegun});
            record.unreportedSuccesses = 0;
            record.unreportedBegun = 0;
        }
    }
    return report;
}

double UpstreamTable::medianLatencySeconds(const ServiceId &service) const
{
    std::vector<double> latencies;
    for (const UpstreamRecord *record : ofService(service)) {
        if (record->meanLatencySeconds > 0) {
            latencies.push_back(record->meanLatencySeconds);
        }
    }
    if (latencies.empty()) {
        return 0;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

} // namespace jackdawdoor::fleet
