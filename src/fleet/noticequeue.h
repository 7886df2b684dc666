/** Collects notices about upstreams, so that many events in a short time become one message.
 *
 * This bounds the messages that an instance sends and receives while a whole service fails, without a delay in the normal case.
 */
#pragma once

#include "base/time.h"
#include "fleet/fleetmessage.h"
#include "fleet/messagepacer.h"

#include <cstddef>
#include <map>

namespace jackdawdoor::fleet {

/** Minimum time between two messages. A gray upstream fails in a few milliseconds. */
constexpr Duration minimumNoticePeriod = std::chrono::milliseconds{20};
/** Datagrams that one queue may cause in a second. */
constexpr int maximumDatagramsPerSecond = 2000;

/** Queue of one instance's notices to one group of receivers. */
class NoticeQueue
{
public:
    /** Sets the number of receivers of a message. */
    void setReceivers(std::size_t receivers);

    /** Adds the events to those that wait. */
    void add(const NoticeItem &item);

    /** Returns true when events wait and the period has passed since the last message. */
    bool due(TimePoint now) const;

    /** Returns the time until the waiting events are due, zero if it has passed, or Duration::max() if none wait. */
    Duration timeUntilDue(TimePoint now) const;

    /** Returns the waiting events, merged by upstream, and starts the next period. */
    UpstreamNotice take(TimePoint now);

private:
    MessagePacer m_pacer{minimumNoticePeriod, maximumDatagramsPerSecond};
    std::map<std::uint32_t, NoticeItem> m_waiting;
};

} // namespace jackdawdoor::fleet
