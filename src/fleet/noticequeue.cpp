#include "fleet/noticequeue.h"

#include <algorithm>

namespace jackdawdoor::fleet {

void NoticeQueue::setReceivers(std::size_t receivers)
{
    const double seconds = static_cast<double>(receivers) / maximumDatagramsPerSecond;
    m_period = std::max(minimumPeriod, fromSeconds(seconds));
}

void NoticeQueue::add(const NoticeItem &item)
{
    NoticeItem &waiting = m_waiting[item.key];
    waiting.key = item.key;
    waiting.failures += item.failures;
    waiting.begun += item.begun;
}

bool NoticeQueue::due(TimePoint now) const
{
    return timeUntilDue(now) == Duration::zero();
}

Duration NoticeQueue::timeUntilDue(TimePoint now) const
{
    return m_waiting.empty() ? Duration::max() : std::max(Duration::zero(), m_sentAt + m_period - now);
}

UpstreamNotice NoticeQueue::take(TimePoint now)
{
    UpstreamNotice notice;
    for (const auto &[key, item] : m_waiting) {
        notice.items.push_back(item);
    }
    m_waiting.clear();
    m_sentAt = now;
    return notice;
}

} // namespace jackdawdoor::fleet
