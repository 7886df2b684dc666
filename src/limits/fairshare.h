/** Max-min fair division of whole slots. */
#pragma once

#include <cstddef>
#include <vector>

namespace jackdawdoor::limits {

/** Divides the slots so that nobody gets more than wanted and no share can grow without a smaller or equal one shrinking.
 *
 * Slots that cannot be divided evenly go to one claimant each, beginning at the given rotation among those that still
 * want more; callers advance it over time, so that each claimant gets a remainder in turn.
 */
std::vector<int> maxMinShares(int slots, const std::vector<int> &wanted, std::size_t rotation);

/** Slots that a coordinator may lease when it sees only some of the listed members.
 *
 * Two coordinators that see disjoint parts of the same list together never exceed the slots.
 */
int visibleSlots(int slots, int listed, int visible);

} // namespace jackdawdoor::limits
