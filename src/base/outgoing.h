/** A message that a module wants delivered to another instance. */
#pragma once

#include "base/ids.h"

namespace jackdawdoor {

/** Message with its receiver. Delivery is not guaranteed and order may change. */
template <typename Message>
struct Outgoing {
    InstanceRef to; ///< incarnation 0 addresses whichever incarnation is running
    Message message;

    bool operator==(const Outgoing &) const = default;
};

} // namespace jackdawdoor
