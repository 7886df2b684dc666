/** Decides which snapshots this instance appends, and when. */
#pragma once

#include "base/time.h"
#include "configuration/logrecord.h"
#include "configuration/versiontable.h"
#include "membership/membershipview.h"

#include <map>
#include <optional>
#include <string>

namespace jackdawdoor::configuration {

/** A snapshot is due when its checkpoint is older than this part of the retention. */
constexpr int snapshotsPerRetention = 3;
/** The k-th instance in rank waits k times this part of the retention longer. */
constexpr int rankDelaysPerRetention = 36;
/** CycleEnd records are written this often in a retention period. */
constexpr int cycleEndsPerRetention = 6;
/** When no CycleEnd is known at all, instances wait this part of the retention, in the order of rank. It is short
 * against the life of an instance, since each new one starts this wait anew. */
constexpr int firstCycleEndPerRetention = 360;
/** Appends of one instance are at least this far apart; the log takes several hundred a second from all. */
constexpr Duration minimumAppendInterval = std::chrono::seconds{2};
/** Customers examined per second; ranking one costs a hash per member. */
constexpr std::size_t examinedPerSecond = 16;

/** Schedules the snapshots and cycle ends of one instance. */
class SnapshotScheduler
{
public:
    explicit SnapshotScheduler(InstanceId self);

    /** The record to append now, if any. To be called often, and only while the log can be read: the states in the
     * table must be recent. */
    std::optional<LogRecord> onTick(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);

private:
    std::optional<LogRecord>
    nextSnapshot(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);
    std::optional<LogRecord> cycleEnd(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);
    bool snapshotDue(TimePoint now,
                     const CustomerId &customer,
                     const membership::MembershipView &view,
                     const VersionTable &table,
                     Duration retention);
    std::size_t rankOf(const std::string &key, const membership::MembershipView &view) const;

    InstanceId m_self;
    std::map<CustomerId, TimePoint> m_appendedAt; ///< own appends whose record was not read yet
    std::map<CustomerId, TimePoint> m_noCheckpointSince; ///< customers of which no snapshot was ever seen
    std::optional<CustomerId> m_lastExamined; ///< the last customer examined
    std::optional<TimePoint> m_lastAppend;
    std::optional<TimePoint> m_lastCycleEnd; ///< own append
    std::optional<TimePoint> m_lastExamination;
    std::optional<TimePoint> m_firstTick;
};

} // namespace jackdawdoor::configuration
