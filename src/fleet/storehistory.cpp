#include "fleet/storehistory.h"

namespace jackdawdoor::fleet {

bool StoreHistory::observe(TimePoint now, TimePoint begun, const std::optional<StoreHistoryNumber> &stated)
{
    if (!stated || stated == m_present) {
        return true;
    }
    const bool beganBefore = m_present && begun < m_learnedAt;
    if (beganBefore && *stated < *m_present) {
        return false;
    }
    m_present = stated;
    m_learnedAt = now;
    return true;
}

bool StoreHistory::tellsRestoration(const std::optional<StoreHistoryNumber> &stated)
{
    if (!stated || (m_highestTold && *stated <= *m_highestTold)) {
        return false;
    }
    const bool first = !m_highestTold;
    m_highestTold = stated;
    return !first;
}

const std::optional<StoreHistoryNumber> &StoreHistory::present() const
{
    return m_present;
}

bool continues(const StorePosition &from, const StorePosition &next)
{
    return from.offset == 0 || from.history == next.history;
}

} // namespace jackdawdoor::fleet
