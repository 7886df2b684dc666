/** Membership updates waiting to be piggybacked on messages.
 *
 * Each update is transmitted a number of times that grows with the logarithm of the fleet size, least often sent first.
 * This reaches all members with high probability while each message stays small.
 */
#pragma once

#include "membership/membershipmessage.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jackdawdoor::membership {

/** Queue with at most one update per member. */
class GossipQueue
{
public:
    /** Queues an update; replaces an earlier one about the same member. */
    void add(const MemberUpdate &update);

    /** Up to `count` updates for the next message, in a fleet of `fleetSize` members. */
    std::vector<MemberUpdate> take(std::size_t count, std::size_t fleetSize);

    void clear();

private:
    struct Entry {
        MemberUpdate update;
        int sent = 0;
    };
    std::map<InstanceId, Entry> m_entries;
};

} // namespace jackdawdoor::membership
