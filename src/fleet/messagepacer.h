/** Pace of messages that go to many instances at once.
 *
 * The first event after a quiet period is sent at once; later ones wait until a period has passed and then share a message. The
 * period grows with the number of receivers, so that the datagrams that one sender causes in a second stay bounded.
 */
#pragma once

#include "base/time.h"

#include <cstddef>

namespace jackdawdoor::fleet {

/** Tells when the next message may be sent. */
class MessagePacer
{
public:
    /** minimumPeriod: time between two messages to few receivers. datagramsPerSecond: bound over all receivers. */
    MessagePacer(Duration minimumPeriod, int datagramsPerSecond);

    /** Sets the number of receivers of a message. */
    void setReceivers(std::size_t receivers);

    /** Returns the time until a message may be sent, zero if that is now. */
    Duration timeUntilDue(TimePoint now) const;

    /** Records that a message was sent. */
    void recordSent(TimePoint now);

private:
    Duration m_minimumPeriod;
    int m_datagramsPerSecond;
    Duration m_period;
    TimePoint m_sentAt{};
};

} // namespace jackdawdoor::fleet
