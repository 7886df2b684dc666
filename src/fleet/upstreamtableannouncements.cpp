// UpstreamTable: what upstreams announce, in their answers or by notices of other instances.
#include "fleet/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::fleet {

namespace {

/** Announcements of an upstream without an entry are kept this long, far longer than an upstream takes to end after it has
 * announced that it leaves, and than its entry may be missing. */
constexpr Duration announcementLifetime = std::chrono::minutes{15};
/** All of them are discarded when their number reaches this limit. */
constexpr std::size_t maximumRemoved = 10000;

} // namespace

void UpstreamTable::limitRemoved(TimePoint now)
{
    std::erase_if(m_removed, [now](const auto &removed) {
        return now - removed.second.removedAt > announcementLifetime;
    });
    if (m_removed.size() >= maximumRemoved) {
        m_removed.clear();
    }
}

/** An answer may arrive after the entry of its upstream has gone, and the entry may come back. */
void UpstreamTable::rememberUnlisted(TimePoint now, const Identity &identity, const UpstreamSignals &signals)
{
    if (!signals.leaving && !signals.retryAfter) {
        return;
    }
    limitRemoved(now);
    RemovedUpstream &removed = m_removed[identity];
    removed.removedAt = now;
    if (signals.leaving) {
        removed.announced.setLeaving(now);
    }
    if (signals.retryAfter) {
        removed.announced.setRest(now, *signals.retryAfter);
    }
}

void UpstreamTable::rememberAnnouncements(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &present)
{
    limitRemoved(now);
    for (const auto &[id, record] : m_records) {
        const auto found = present.find(id);
        const bool stays = found != present.end() && found->second.key == record.key;
        if (!stays && record.announced.active(now)) {
            m_removed[{id, record.entry.incarnation}] = {record.announced, now};
        }
        if (!stays && record.announced.leaving) {
            m_ended.push_back({record.entry, AnnouncementEnd::What::Leaving, now - record.announced.leavingSince});
        }
    }
}

void UpstreamTable::restoreAnnouncements(UpstreamRecord &record)
{
    const auto removed = m_removed.find({record.entry.id, record.entry.incarnation});
    if (removed != m_removed.end()) {
        record.announced = removed->second.announced;
        m_removed.erase(removed);
    }
}

std::optional<NoticeItem>
UpstreamTable::recordSignals(TimePoint now, const UpstreamId &id, std::int64_t incarnation, const UpstreamSignals &signals, bool answered)
{
    UpstreamRecord *record = find(id, incarnation);
    if (record == nullptr) {
        rememberUnlisted(now, {id, incarnation}, signals);
        return std::nullopt;
    }
    std::optional<NoticeItem> notice = recordRateLimit(now, *record, signals, answered);
    if (signals.leaving && record->announced.setLeaving(now)) {
        notice = notice.value_or(NoticeItem{record->key});
        notice->leaving = true;
    }
    if (signals.retryAfter) {
        record->announced.setRest(now, *signals.retryAfter);
        m_resting.insert(record->key);
    }
    return notice;
}

std::optional<NoticeItem>
UpstreamTable::recordRateLimit(TimePoint now, UpstreamRecord &record, const UpstreamSignals &signals, bool answered)
{
    FleetRateLimit &limit = record.announced.rateLimit;
    if (!signals.rateLimit) {
        const bool ends = answered && limit.active();
        if (ends) {
            limit.clear();
        }
        return ends ? std::optional(NoticeItem{record.key, 0, 0, noRateLimit}) : std::nullopt;
    }
    const bool known = limit.active() && limit.requestsPerSecond() == *signals.rateLimit;
    limit.set(now, *signals.rateLimit);
    return known ? std::nullopt : std::optional(NoticeItem{record.key, 0, 0, signals.rateLimit});
}

std::vector<UpstreamEntry> UpstreamTable::applyNotice(TimePoint now, const UpstreamNotice &notice)
{
    std::vector<UpstreamEntry> newlyLeaving;
    for (const NoticeItem &item : notice.items) {
        UpstreamRecord *record = findKey(item.key);
        if (record == nullptr) {
            continue;
        }
        record->grayEstimate.addFailures(now, item.failures);
        if (item.failures > 0 || item.begun > 0) {
            record->lastUsed = now;
        }
        if (item.failures > 0) {
            recordReached(now, *record);
        }
        if (item.unreached > 0) {
            recordUnreached(*record, item.unreached);
        }
        FleetRateLimit &limit = record->announced.rateLimit;
        if (item.rateLimit == noRateLimit) {
            limit.clear();
        } else if (item.rateLimit) {
            limit.set(now, *item.rateLimit);
        }
        limit.count(now, item.begun);
        if (item.leaving && record->announced.setLeaving(now)) {
            newlyLeaving.push_back(record->entry);
        }
    }
    return newlyLeaving;
}

std::vector<AnnouncementEnd> UpstreamTable::takeAnnouncementEnds(TimePoint now)
{
    std::erase_if(m_resting, [this, now](std::uint32_t key) {
        const UpstreamRecord *record = findKey(key);
        const bool over = record != nullptr && !record->announced.resting(now);
        if (over) {
            m_ended.push_back({record->entry, AnnouncementEnd::What::Rest, now - record->announced.restSince});
        }
        return over || record == nullptr;
    });
    return std::exchange(m_ended, {});
}

} // namespace jackdawdoor::fleet
