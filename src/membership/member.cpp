#include "membership/member.h"

namespace jackdawdoor::membership {

std::string stateName(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Failed:
        return "failed";
    }
    return "unknown-state";
}

} // namespace jackdawdoor::membership
