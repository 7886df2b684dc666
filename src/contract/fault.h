/** A fault in the text of a contract. */
#pragma once

#include <string>

namespace jackdawdoor::contract {

/** One reason why a contract is refused. */
struct Fault {
    std::string keyPath; ///< such as "services[0].upstreams[3].slots"; empty for the document as a whole
    int line = 0; ///< counted from 1
    std::string reason; ///< what is wrong, with the value that was found
    std::string acceptedRange; ///< what would be accepted

    bool operator==(const Fault &) const = default;
};

} // namespace jackdawdoor::contract
