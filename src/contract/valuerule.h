/** Parsing and validation of one kind of contract value. */
#pragma once

#include "contract/documentnode.h"

#include <functional>
#include <optional>
#include <string>

namespace jackdawdoor::contract {

/** Reader of one kind of value. */
template <typename Value>
struct ValueRule {
    std::string accepted; ///< accepted range, for faults
    std::function<std::optional<Value>(const DocumentNode &)> read; ///< nothing when the value is not accepted
};

} // namespace jackdawdoor::contract
