/** The coordinator's decisions about a service's upstreams, sent to all of its holders. */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace jackdawdoor::health {

/** Action that the holders take on an upstream. */
enum class VerdictKind : std::uint8_t {
    Eject, ///< send it no requests until a later verdict
    Trial, ///< as Eject, but the named instance runs probation trials
    Return, ///< it passed its probation: ramp its traffic up
    Confirmation, ///< the named instance sends it checks, to confirm or contradict a fault
};

/** Decision about one upstream. */
struct Verdict {
    std::uint32_t upstream = 0; ///< index in ServicePolicy::upstreams
    VerdictKind kind = VerdictKind::Eject;
    InstanceId instance; ///< addressee of Trial and Confirmation; empty otherwise
    Duration remaining{}; ///< until the first trial; zero when it does not apply
    std::uint32_t consecutiveEjections = 0; ///< ejections and failed trials in close succession
    double severity = 0; ///< as reported by the holders; orders upstreams when a holder's floor limits ejections
    bool floorBound = false; ///< more upstreams of this service would be ejected if the floor allowed it

    bool operator==(const Verdict &) const = default;
};

/** All current verdicts of one service. */
struct Verdicts {
    ServiceId service;
    std::uint64_t policyVersion = 0;
    std::vector<Verdict> verdicts;

    bool operator==(const Verdicts &) const = default;
};

void to_json(nlohmann::json &json, const Verdict &verdict);
void from_json(const nlohmann::json &json, Verdict &verdict);
void to_json(nlohmann::json &json, const Verdicts &verdicts);
/** Throws nlohmann::json::exception on malformed input; the codec turns it into an Error. */
void from_json(const nlohmann::json &json, Verdicts &verdicts);

} // namespace jackdawdoor::health
