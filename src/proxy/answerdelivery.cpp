#include "proxy/answerdelivery.h"

namespace jackdawdoor::proxy {

AnswerDelivery::AnswerDelivery(TimePoint now)
    : m_progressed(now)
{
}

void AnswerDelivery::addQueued(TimePoint now, std::size_t bytes)
{
    if (complete()) {
        m_progressed = now;
    }
    m_queued += bytes;
}

void AnswerDelivery::update(TimePoint now, std::size_t undelivered)
{
    const std::uint64_t delivered = m_queued - undelivered;
    if (delivered != m_delivered) {
        m_delivered = delivered;
        m_progressed = now;
    }
}

bool AnswerDelivery::complete() const
{
    return m_delivered == m_queued;
}

TimePoint AnswerDelivery::progressed() const
{
    return m_progressed;
}

bool AnswerDelivery::stalled(TimePoint now, Duration limit) const
{
    return !complete() && now - m_progressed >= limit;
}

} // namespace jackdawdoor::proxy
