/** Limits ejections so that a service keeps its healthy floor of upstreams. */
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawdoor::health {

/** What FloorGuard needs to know of one upstream. */
struct FloorCandidate {
    bool available = false; ///< neither draining nor leaving nor cold, whether or not it is ejected
    bool shouldEject = false; ///< there is evidence to eject it or to keep it ejected
    double severity = 0; ///< the least severe are kept when the floor limits ejections

    bool operator==(const FloorCandidate &) const = default;
};

/** Ejections that the floor prevented, for the decision log. */
struct FloorBound {
    int floor = 0;
    int available = 0; ///< upstreams that could serve if none were ejected
    std::vector<std::size_t> kept; ///< upstreams that would have been ejected, by index

    bool operator==(const FloorBound &) const = default;

    /** Text for log messages. */
    std::string message() const;
};

/** Which upstreams to eject. */
struct FloorDecision {
    std::vector<std::size_t> ejected; ///< indices, ascending
    FloorBound bound; ///< bound.kept is empty when the floor prevented no ejection

    bool operator==(const FloorDecision &) const = default;
};

/** Decides over all upstreams of a service at once, so that a more severe fault replaces a less severe one among the ejected. */
class FloorGuard
{
public:
    explicit FloorGuard(int floor);

    /** The ejections that leave at least the floor of available upstreams; none when fewer than the floor are available. */
    FloorDecision decide(const std::vector<FloorCandidate> &candidates) const;

private:
    int m_floor;
};

} // namespace jackdawdoor::health
