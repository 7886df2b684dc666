/** Immutable snapshot of the fleet as one instance sees it.
 *
 * Membership publishes a new view when anything in it changes. Readers share it by pointer and compare epochs to see
 * whether data derived from it is still current.
 */
#pragma once

#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace jackdawdoor::membership {

/** Members known to one instance, itself included. */
struct MembershipView {
    InstanceRef self;
    std::vector<Member> members; ///< sorted by id; includes failed members until they are removed
    std::uint64_t epoch = 0; ///< incremented with each new view of this instance
    /** Number of instances on the platform's list; without a list, of all known members, failed ones included. */
    std::size_t listed = 0;
    /** How many of these are live or leaving. Suspects don't count, so that a partition is detected early. */
    std::size_t visible = 0;

    bool operator==(const MembershipView &) const = default;

    /** The member with this id, or nullptr. */
    const Member *find(const InstanceId &id) const;

    /** The member with this id if its known incarnation matches, or nullptr. */
    const Member *find(const InstanceRef &ref) const;

    /** True when this incarnation is live. */
    bool isLive(const InstanceRef &ref) const;

    /** Members in state Live, sorted by id; includes this instance if it is Live. */
    std::vector<const Member *> live() const;
};

using MembershipViewPointer = std::shared_ptr<const MembershipView>;

} // namespace jackdawdoor::membership
