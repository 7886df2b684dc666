#include "configuration/offsettimeindex.h"

#include <iterator>

namespace jackdawdoor::configuration {

namespace {

constexpr int entriesPerRetention = 64;

} // namespace

void OffsetTimeIndex::add(Offset offset, TimePoint appended, Duration retention)
{
    if (m_entries.empty()) {
        m_entries.emplace(offset, appended);
        return;
    }
    const auto &[lastOffset, lastTime] = *m_entries.rbegin();
    if (offset > lastOffset && appended - lastTime >= retention / entriesPerRetention) {
        m_entries.emplace(offset, appended);
    }
}

std::optional<TimePoint> OffsetTimeIndex::timeOf(Offset offset) const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const auto after = m_entries.upper_bound(offset);
    return after == m_entries.begin() ? after->second : std::prev(after)->second;
}

void OffsetTimeIndex::expireBefore(Offset firstRetained)
{
    // The last entry at or before the bound still gives the time of the first retained records.
    const auto bound = m_entries.upper_bound(firstRetained);
    if (bound != m_entries.begin()) {
        m_entries.erase(m_entries.begin(), std::prev(bound));
    }
}

} // namespace jackdawdoor::configuration
