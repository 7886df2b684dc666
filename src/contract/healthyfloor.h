/** The healthy floor of a service, as the operator states it. */
#pragma once

namespace jackdawdoor::contract {

/** Upstreams that must stay usable: a count, or a percentage of the service's upstreams. */
struct HealthyFloor {
    enum class Unit {
        Upstreams,
        Percent,
    };

    int amount = 1; ///< in units of `unit`
    Unit unit = Unit::Upstreams;

    bool operator==(const HealthyFloor &) const = default;

    /** Number of upstreams out of `total` that must stay usable. A percentage is rounded up, so that the floor is always met. */
    constexpr int requiredUpstreams(int total) const
    {
        return unit == Unit::Upstreams ? amount : (total * amount + 99) / 100;
    }
};

} // namespace jackdawdoor::contract
