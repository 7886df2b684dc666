/** The coordinator's judgement about a service's upstreams, for all of its holders. */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace jackdawdoor::health {

/** What the holders shall do with an upstream. */
enum class VerdictKind : std::uint8_t {
    Eject, ///< give it no work until a later verdict
    Trial, ///< as Eject, but the named instance runs probation trials
    Return, ///< it passed its probation: ramp traffic up
    Confirmation, ///< the named instance sends it some traffic, to confirm or contradict a fault
};

/** Judgement about one upstream. */
struct Verdict {
    std::uint32_t upstream = 0; ///< index in ServicePolicy::upstreams
    VerdictKind kind = VerdictKind::Eject;
    InstanceId instance; ///< whom Trial and Confirmation address; empty otherwise
    Duration remaining{}; ///< until the first trial; zero when it does not apply
    std::uint32_t consecutiveEjections = 0; ///< times ejected in close succession
    double severity = 0; ///< how bad the holders found it; orders upstreams when a holder's floor binds
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
