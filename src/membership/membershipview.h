/** Immutable picture of the fleet at one instance.
 *
 * Membership publishes a new view when anything in it changes; readers share it by pointer and compare epochs to see
 * whether what they derived from it is still current.
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
    std::vector<Member> members; ///< sorted by id; failed ones stay until they are forgotten
    std::uint64_t epoch = 0; ///< grows with each new view of this instance
    /** Instances on the platform's list; without a list, all members known, failed ones included. */
    std::size_t listed = 0;
    /** Those of the listed that are live or leaving. Suspects don't count, so that a partition is seen early. */
    std::size_t visible = 0;

    bool operator==(const MembershipView &) const = default;

    /** The member of that id, or nullptr. */
    const Member *find(const InstanceId &id) const;

    /** The member if exactly this incarnation is the one known, or nullptr. */
    const Member *find(const InstanceRef &ref) const;

    /** True when this very incarnation is live. */
    bool isLive(const InstanceRef &ref) const;

    /** Members that are Live, sorted by id, self included when it is. */
    std::vector<const Member *> live() const;
};

using MembershipViewPointer = std::shared_ptr<const MembershipView>;

} // namespace jackdawdoor::membership
