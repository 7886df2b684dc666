/** Decides which snapshots this instance appends, and when. */
#pragma once

#include "base/time.h"
#include "configuration/logrecord.h"
#include "configuration/versiontable.h"
#include "membership/membershipview.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::configuration {

/** A snapshot is due when its anchor is older than this part of the retention. */
constexpr int snapshotsPerRetention = 3;
/** The k-th instance in rank waits k times this part of the retention longer. */
constexpr int rankDelaysPerRetention = 36;
/** Appends of one instance are at least this far apart; the log takes several hundred a second from all. */
constexpr Duration appendGap = std::chrono::seconds{2};
/** Customers examined per second; ranking one costs a hash per member. */
constexpr std::size_t examinedPerSecond = 16;

/** Schedules the snapshots and cycle ends of one instance. */
class SnapshotScheduler
{
public:
    explicit SnapshotScheduler(InstanceId self);

    /** Records to append now. To be called about each second, and only while the log can be read: `asOf` must be
     * recent. */
    std::vector<LogRecord> onTick(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);

private:
    std::optional<LogRecord>
    nextSnapshot(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);
    std::optional<LogRecord> cycleEnd(TimePoint now, const membership::MembershipView &view, const VersionTable &table, Duration retention);
    bool snapshotDue(TimePoint now,
                     const CustomerId &customer,
                     const membership::MembershipView &view,
                     const VersionTable &table,
                     Duration retention);
    std::size_t rankOf(std::string_view key, const membership::MembershipView &view) const;

    InstanceId m_self;
    std::map<CustomerId, TimePoint> m_appended; ///< own appends whose record was not read yet
    std::map<CustomerId, TimePoint> m_unanchoredSince; ///< customers of which no snapshot was ever seen
    std::optional<CustomerId> m_examined; ///< the last customer examined
    std::optional<TimePoint> m_lastAppend;
    std::optional<TimePoint> m_lastCycleEnd;
    std::optional<TimePoint> m_firstTick;
};

} // namespace jackdawdoor::configuration
