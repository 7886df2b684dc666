/** One page read from the log. */
#pragma once

#include "base/time.h"
#include "configuration/logrecord.h"

#include <string>
#include <vector>

namespace jackdawdoor::configuration {

/** Record with its offset and age. */
struct LogEntry {
    Offset offset = 0;
    Duration age{}; ///< time since it was appended, by the log's clock
    std::string record; ///< as appended; not validated

    bool operator==(const LogEntry &) const = default;
};

/** Entries from the requested offset, or from `firstRetained` when that is later. */
struct LogPage {
    Offset firstRetained = 0; ///< earlier records have expired
    Offset nextOffset = 0; ///< where the next read starts; at the end of the log equal to the requested offset
    Duration retention{}; ///< how long the log keeps records
    std::vector<LogEntry> entries; ///< in ascending order of offset

    bool operator==(const LogPage &) const = default;
};

/** Request to read a page of the log. */
struct LogRead {
    Offset fromOffset = 0;
    std::uint32_t maximumRecords = 0;

    bool operator==(const LogRead &) const = default;
};

} // namespace jackdawdoor::configuration
