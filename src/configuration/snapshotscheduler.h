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

/** A snapshot is due when the customer's checkpoint is older than the retention divided by this. */
constexpr int snapshotsPerRetention = 3;
/** The instance of rank k waits k times the retention divided by this longer than the first. */
constexpr int rankDelaysPerRetention = 36;
/** CycleEnd records per retention period. */
constexpr int cycleEndsPerRetention = 6;
/** When no CycleEnd is known, the delay and the rank delay are the retention divided by this. It is short compared with
 * the lifetime of an instance, since each new instance restarts the wait. */
constexpr int firstCycleEndPerRetention = 360;
/** Minimum time between appends of one instance; the log takes several hundred a second from all instances. */
constexpr Duration minimumAppendInterval = std::chrono::seconds{2};
/** Customers examined per second; computing the rank for one costs a hash per member. */
constexpr std::size_t examinedPerSecond = 16;

/** Schedules the Snapshot and CycleEnd records of one instance. */
class SnapshotScheduler
{
public:
    explicit SnapshotScheduler(InstanceId self);

    /** Returns the record to append now, if any. To be called frequently, and only while the log can be read, since
     * the states in the table must be recent. */
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
    std::map<CustomerId, TimePoint> m_appendedAt; ///< time of the latest snapshot that this instance appended
    std::map<CustomerId, TimePoint> m_noCheckpointSince; ///< when a customer was first seen without a checkpoint
    std::optional<CustomerId> m_lastExamined;
    std::optional<TimePoint> m_lastAppend;
    std::optional<TimePoint> m_lastCycleEnd; ///< appended by this instance
    std::optional<TimePoint> m_lastExamination;
    std::optional<TimePoint> m_firstTick;
};

} // namespace jackdawdoor::configuration
