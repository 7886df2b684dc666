/** Rumours waiting to be passed on.
 *
 * A rumour is sent a number of times that grows with the logarithm of the fleet's size, least often sent first, which
 * reaches all members with high probability while each message stays small.
 */
#pragma once

#include "membership/membershipmessage.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jackdawdoor::membership {

/** Bounded queue with at most one rumour per member. */
class GossipQueue
{
public:
    /** Queues a rumour in place of any earlier one about the same member. */
    void add(const MemberUpdate &update);

    /** Up to `count` rumours for the next message of a fleet of that size. */
    std::vector<MemberUpdate> take(std::size_t count, std::size_t fleetSize);

    /** Drops all rumours. */
    void clear();

private:
    struct Entry {
        MemberUpdate update;
        int sent = 0;
    };
    std::map<InstanceId, Entry> m_entries;
};

} // namespace jackdawdoor::membership
