/** One instance of the fleet as another instance sees it. */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::membership {

/** What is believed of a member. The order is that of precedence between rumours of equal refutation number. */
enum class MemberState : std::uint8_t {
    Joining = 0, ///< named by the instance list, but not heard of yet
    Live = 1,
    Leaving = 2, ///< stopping; takes no new work
    Suspect = 3, ///< did not answer, directly or through others; may still refute
    Failed = 4, ///< did not refute in time
};

/** An instance with its address and state. */
struct Member {
    InstanceRef ref; ///< incarnation 0 while Joining
    std::string address; ///< "ip:port" for other instances
    DataCentreId dataCentre;
    MemberState state = MemberState::Joining;
    std::string callerAddress = {}; ///< "ip:port" for callers; empty until the member has been heard of

    bool operator==(const Member &) const = default;
};

/** Name of a state for logs and status pages, such as "live". */
std::string stateName(MemberState state);

} // namespace jackdawdoor::membership
