/** A customer's contract as decided through some offset of the log. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/logrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawdoor::configuration {

/** Decided state of one customer. Two of them merge to the one with the higher version, then the higher asOf. */
struct CustomerState {
    CustomerId customer;
    Version version = 0;
    Offset asOf = 0; ///< exclusive
    std::optional<std::string> body; ///< none is a tombstone, or a customer that does not exist

    bool operator==(const CustomerState &) const = default;
};

/** Offset from which a reader can start and learn the customer's state, with the time of that offset. */
struct Checkpoint {
    Offset offset = 0;
    TimePoint time; ///< by the local clock

    bool operator==(const Checkpoint &) const = default;
};

} // namespace jackdawdoor::configuration
