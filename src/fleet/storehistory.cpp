#include "fleet/storehistory.h"

namespace jackdawdoor::fleet {

HistoryRelation StoreHistory::observe(const std::optional<StoreHistoryNumber> &stated)
{
    if (!stated || stated == m_latest) {
        return HistoryRelation::Same;
    }
    if (m_latest && *stated < *m_latest) {
        return HistoryRelation::Earlier;
    }
    const bool first = !m_latest;
    m_latest = stated;
    return first ? HistoryRelation::Same : HistoryRelation::Later;
}

const std::optional<StoreHistoryNumber> &StoreHistory::latest() const
{
    return m_latest;
}

bool continues(const StorePosition &from, const StorePosition &next)
{
    return from.offset == 0 || from.history == next.history;
}

} // namespace jackdawdoor::fleet
