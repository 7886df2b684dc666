/** One instance of the fleet as another instance sees it. */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::membership {

/** State of a member as known to one instance. Of two updates with equal refutation number, the one with the greater state wins. */
enum class MemberState : std::uint8_t {
    Joining = 0, ///< known only from the instance list, or reset after a long silence
    Live = 1,
    Leaving = 2, ///< shutting down; accepts no new work
    Suspect = 3, ///< answered neither direct nor indirect pings; may still refute the suspicion
    Failed = 4, ///< did not refute the suspicion in time
};

/** An instance with its address and state. */
struct Member {
    InstanceRef ref; ///< incarnation 0 while Joining
    std::string address; ///< "ip:port" for other instances
    DataCentreId dataCentre;
    MemberState state = MemberState::Joining;
    std::string callerAddress = {}; ///< "ip:port" for callers; empty until the first update about the member

    bool operator==(const Member &) const = default;
};

/** Name of a state for logs and status pages, such as "live". */
std::string stateName(MemberState state);

} // namespace jackdawdoor::membership
