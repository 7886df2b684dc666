/** Announcement of this instance's planned departure to every member.
 *
 * Gossip reaches all members only with high probability, and a member that misses it goes on naming the departed instance until
 * it detects a failure. So each member is told directly, and again until it has acknowledged the message.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jackdawdoor::membership {

/** Interval between two messages to a member that has not acknowledged; many round trips. */
constexpr Duration departureRepeatPeriod = std::chrono::milliseconds{300};
/** At a tenth of the messages lost in each direction, all but 3 in 10,000 members acknowledge one of these. */
constexpr int maximumDepartureMessages = 5;
/** Members told in one call of due(), which is made about every 100 ms, so that a fleet of thousands causes no burst. */
constexpr std::size_t maximumDepartureBatch = 500;

/** Tracks which members know of the departure. */
class DepartureAnnouncement
{
public:
    /** Starts the announcement to these members. */
    void begin(TimePoint now, const std::vector<InstanceRef> &members);

    /** Records that a member has acknowledged the departure. */
    void acknowledge(const InstanceId &member);

    /** Returns the members to tell now, and counts them as told. */
    std::vector<InstanceRef> due(TimePoint now);

private:
    struct Receiver {
        InstanceRef ref;
        TimePoint nextAt{};
        int sent = 0;
    };

    std::map<InstanceId, Receiver> m_receivers;
};

} // namespace jackdawdoor::membership
