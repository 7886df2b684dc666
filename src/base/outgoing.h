/** Messages from a core module to other instances. */
#pragma once

#include "base/ids.h"

namespace jackdawdoor {

/** A message with its receiver. Messages may be lost or reordered. */
template <typename Message>
struct Outgoing {
    InstanceRef to; ///< incarnation 0 addresses any incarnation
    Message message;

    bool operator==(const Outgoing &) const = default;
};

} // namespace jackdawdoor
