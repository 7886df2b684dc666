#include "configuration/logclock.h"

#include <iterator>

namespace jackdawdoor::configuration {

namespace {

constexpr int marksPerRetention = 64;

} // namespace

void LogClock::note(Offset offset, TimePoint appended, Duration retention)
{
    if (m_marks.empty()) {
        m_marks.emplace(offset, appended);
        return;
    }
    const auto &[lastOffset, lastTime] = *m_marks.rbegin();
    if (offset > lastOffset && appended - lastTime >= retention / marksPerRetention) {
        m_marks.emplace(offset, appended);
    }
}

std::optional<TimePoint> LogClock::timeOf(Offset offset) const
{
    if (m_marks.empty()) {
        return std::nullopt;
    }
    const auto after = m_marks.upper_bound(offset);
    return after == m_marks.begin() ? after->second : std::prev(after)->second;
}

void LogClock::expireBefore(Offset firstRetained)
{
    // The last mark before the bound still dates the first retained records.
    const auto bound = m_marks.upper_bound(firstRetained);
    if (bound != m_marks.begin()) {
        m_marks.erase(m_marks.begin(), std::prev(bound));
    }
}

} // namespace jackdawdoor::configuration
