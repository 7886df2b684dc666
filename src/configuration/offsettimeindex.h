/** Estimates when an offset of the log was written. */
#pragma once

#include "base/time.h"
#include "configuration/logrecord.h"

#include <map>
#include <optional>

namespace jackdawdoor::configuration {

/** A bounded number of (offset, time) marks. */
class OffsetTimeIndex
{
public:
    /** Notes that the record at this offset was appended at this time. Spacing is a 64th of the retention. */
    void add(Offset offset, TimePoint appended, Duration retention);

    /** Time of the last mark at or before the offset, or else of the first mark; none when there are no marks. */
    std::optional<TimePoint> timeOf(Offset offset) const;

    /** Drops marks of expired records. */
    void expireBefore(Offset firstRetained);

private:
    std::map<Offset, TimePoint> m_entries;
};

} // namespace jackdawdoor::configuration
