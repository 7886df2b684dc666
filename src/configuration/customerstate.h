/** Contract of a customer as decided up to an offset of the log. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/logrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawdoor::configuration {

/** Decided state of one customer. Of two states, merging keeps the higher version, then the higher asOf. */
struct CustomerState {
    CustomerId customer;
    Version version = 0;
    Offset asOf = 0; ///< exclusive
    std::optional<std::string> body; ///< none for a tombstone and for a customer that does not exist

    bool operator==(const CustomerState &) const = default;
};

/** Offset from which a reader can start and recover the state, with the time of that offset. */
struct Checkpoint {
    Offset offset = 0;
    TimePoint time; ///< by the local clock

    bool operator==(const Checkpoint &) const = default;
};

} // namespace jackdawdoor::configuration
