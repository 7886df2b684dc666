#include "configuration/snapshotscheduler.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::configuration {

using membership::Member;
using membership::MembershipView;
using membership::MemberState;

SnapshotScheduler::SnapshotScheduler(InstanceId self)
    : m_self(std::move(self))
{
}

std::optional<LogRecord> SnapshotScheduler::onTick(TimePoint now, const MembershipView &view, const VersionTable &table, Duration retention)
{
    if (!m_firstTick) {
        m_firstTick = now;
    }
    const bool tooEarly = m_lastExamination && now - *m_lastExamination < std::chrono::seconds{1};
    if (retention <= Duration::zero() || tooEarly || (m_lastAppend && now - *m_lastAppend < minimumAppendInterval)) {
        return std::nullopt;
    }
    m_lastExamination = now;
    std::optional<LogRecord> record = nextSnapshot(now, view, table, retention);
    if (!record) {
        record = cycleEnd(now, view, table, retention);
    }
    if (record) {
        m_lastAppend = now;
    }
    return record;
}

std::optional<LogRecord>
SnapshotScheduler::nextSnapshot(TimePoint now, const MembershipView &view, const VersionTable &table, Duration retention)
{
    for (std::size_t examined = 0; examined < examinedPerSecond; ++examined) {
        m_lastExamined = table.customerAfter(m_lastExamined);
        if (!m_lastExamined) {
            return std::nullopt;
        }
        if (!snapshotDue(now, *m_lastExamined, view, table, retention)) {
            continue;
        }
        const auto state = table.stateOf(*m_lastExamined);
        m_appendedAt[*m_lastExamined] = now;
        return Snapshot{state->customer, state->version, state->asOf, state->body};
    }
    return std::nullopt;
}

bool SnapshotScheduler::snapshotDue(TimePoint now,
                                    const CustomerId &customer,
                                    const MembershipView &view,
                                    const VersionTable &table,
                                    Duration retention)
{
    const Duration rankDelay = retention / rankDelaysPerRetention;
    const auto checkpoint = table.checkpointOf(customer);
    TimePoint dueFirst;
    if (checkpoint) {
        m_noCheckpointSince.erase(customer);
        dueFirst = checkpoint->time + retention / snapshotsPerRetention;
    } else {
        dueFirst = m_noCheckpointSince.try_emplace(customer, now).first->second;
    }
    // A state that can't follow the log may be outdated; a snapshot appended recently may not have been read back yet.
    if (now < dueFirst || !table.isCurrent(customer)) {
        return false;
    }
    const auto appended = m_appendedAt.find(customer);
    if (appended != m_appendedAt.end() && now - appended->second < rankDelay) {
        return false;
    }
    const std::size_t rank = rankOf("snapshot/" + customer.value, view);
    return now >= dueFirst + rankDelay * static_cast<std::int64_t>(rank);
}

std::optional<LogRecord>
SnapshotScheduler::cycleEnd(TimePoint now, const MembershipView &view, const VersionTable &table, Duration retention)
{
    const auto &last = table.cycleEnd();
    TimePoint dueFirst = *m_firstTick + retention / firstCycleEndPerRetention;
    Duration rankDelay = retention / firstCycleEndPerRetention;
    if (last) {
        dueFirst = last->time + retention / cycleEndsPerRetention;
        rankDelay = retention / rankDelaysPerRetention;
    }
    const bool appended = m_lastCycleEnd && now - *m_lastCycleEnd < rankDelay;
    if (now < dueFirst || appended) {
        return std::nullopt;
    }
    const auto asOf = table.possibleCycleEnd();
    if (!asOf || (last ? *asOf <= last->offset : *asOf == 0)) {
        return std::nullopt;
    }
    if (now < dueFirst + rankDelay * static_cast<std::int64_t>(rankOf("cycle-end", view))) {
        return std::nullopt;
    }
    m_lastCycleEnd = now;
    return CycleEnd{*asOf};
}

/** Number of live members with a higher rendezvous weight; an instance that isn't live ranks last. */
std::size_t SnapshotScheduler::rankOf(const std::string &key, const MembershipView &view) const
{
    const std::uint64_t own = rendezvousWeight(key, m_self.value);
    const Member *self = view.find(m_self);
    const bool selfIsLive = self != nullptr && self->state == MemberState::Live;
    return static_cast<std::size_t>(std::count_if(view.members.begin(), view.members.end(), [&](const Member &member) {
        return member.state == MemberState::Live && (!selfIsLive || rendezvousWeight(key, member.ref.id.value) > own);
    }));
}

} // namespace jackdawdoor::configuration
