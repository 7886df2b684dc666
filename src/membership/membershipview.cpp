#include "membership/membershipview.h"

#include <algorithm>

namespace jackdawdoor::membership {

const Member *MembershipView::find(const InstanceId &id) const
{
    const auto found = std::lower_bound(members.begin(), members.end(), id, [](const Member &member, const InstanceId &wanted) {
        return member.ref.id < wanted;
    });
    return found != members.end() && found->ref.id == id ? &*found : nullptr;
}

const Member *MembershipView::find(const InstanceRef &ref) const
{
    const Member *member = find(ref.id);
    return member != nullptr && member->ref == ref ? member : nullptr;
}

bool MembershipView::isLive(const InstanceRef &ref) const
{
    const Member *member = find(ref);
    return member != nullptr && member->state == MemberState::Live;
}

std::vector<const Member *> MembershipView::live() const
{
    std::vector<const Member *> found;
    for (const Member &member : members) {
        if (member.state == MemberState::Live) {
            found.push_back(&member);
        }
    }
    return found;
}

} // namespace jackdawdoor::membership
