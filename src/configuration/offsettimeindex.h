/** Estimates the append time of a log offset. */
#pragma once

#include "base/time.h"
#include "configuration/logrecord.h"

#include <map>
#include <optional>

namespace jackdawdoor::configuration {

/** Sparse index of append times by offset, with a bounded number of entries. */
class OffsetTimeIndex
{
public:
    /** Adds the append time of an offset. Entries are at least a 64th of the retention apart. */
    void add(Offset offset, TimePoint appended, Duration retention);

    /** Time of the last entry at or before the offset, or else of the first entry; none when the index is empty. */
    std::optional<TimePoint> timeOf(Offset offset) const;

    /** Removes entries of expired records. */
    void expireBefore(Offset firstRetained);

private:
    std::map<Offset, TimePoint> m_entries;
};

} // namespace jackdawdoor::configuration
