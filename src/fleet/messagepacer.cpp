#include "fleet/messagepacer.h"

#include <algorithm>

namespace jackdawdoor::fleet {

MessagePacer::MessagePacer(Duration minimumPeriod, int datagramsPerSecond)
    : m_minimumPeriod(minimumPeriod)
    , m_datagramsPerSecond(datagramsPerSecond)
    , m_period(minimumPeriod)
{
}

void MessagePacer::setReceivers(std::size_t receivers)
{
    const double seconds = static_cast<double>(receivers) / m_datagramsPerSecond;
    m_period = std::max(m_minimumPeriod, fromSeconds(seconds));
}

Duration MessagePacer::timeUntilDue(TimePoint now) const
{
    return std::max(Duration::zero(), m_sentAt + m_period - now);
}

void MessagePacer::recordSent(TimePoint now)
{
    m_sentAt = now;
}

} // namespace jackdawdoor::fleet
