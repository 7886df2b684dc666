#include "fleet/noticequeue.h"

namespace jackdawdoor::fleet {

void NoticeQueue::setReceivers(std::size_t receivers)
{
    m_pacer.setReceivers(receivers);
}

void NoticeQueue::add(const NoticeItem &item)
{
    NoticeItem &waiting = m_waiting[item.key];
    waiting.key = item.key;
    waiting.failures += item.failures;
    waiting.begun += item.begun;
    waiting.leaving = waiting.leaving || item.leaving;
    waiting.unreached += item.unreached;
    waiting.rateLimit = item.rateLimit ? item.rateLimit : waiting.rateLimit;
}

bool NoticeQueue::due(TimePoint now) const
{
    return timeUntilDue(now) == Duration::zero();
}

Duration NoticeQueue::timeUntilDue(TimePoint now) const
{
    return m_waiting.empty() ? Duration::max() : m_pacer.timeUntilDue(now);
}

UpstreamNotice NoticeQueue::take(TimePoint now)
{
    UpstreamNotice notice;
    for (const auto &[key, item] : m_waiting) {
        notice.items.push_back(item);
    }
    m_waiting.clear();
    m_pacer.recordSent(now);
    return notice;
}

} // namespace jackdawdoor::fleet
