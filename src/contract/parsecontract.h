/** Parser and printer of contracts.
 *
 * The text is untrusted: it may come from the log or from a peer. Its size, depth and number of values are checked
 * before a contract is built from it.
 */
#pragma once

#include "contract/contract.h"
#include "contract/fault.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace jackdawdoor::contract {

/** Largest accepted text in bytes; room for about 10,000 upstreams. */
inline constexpr std::size_t maximumContractBytes = std::size_t{1024} * 1024;

/** An accepted contract, or the faults for which it was refused. */
struct ParseResult {
    std::optional<Contract> contract; ///< set if and only if there are no faults
    std::vector<Fault> faults; ///< by line

    bool accepted() const
    {
        return contract.has_value();
    }
};

/** Reads a contract and reports all its faults. A text that is not JSON has the syntax error as its only fault. */
ParseResult parseContract(std::string_view text);

/** Text that parseContract() reads back as an equal contract. */
std::string printContract(const Contract &contract);

} // namespace jackdawdoor::contract
