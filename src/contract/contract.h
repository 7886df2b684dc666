/** The contract: everything an operator states about one customer.
 *
 * It is the only input by which behaviour changes; derivePolicy() turns it into limits and budgets.
 */
#pragma once

#include "contract/service.h"
#include "contract/sourcelines.h"

#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** What operators know about one customer. Use ContractBuilder to make one in code and parseContract() to read one. */
struct Contract {
    std::string customer; ///< name of the customer
    std::string organisationHeader; ///< request header that names the caller's organisation; empty when there is none
    Weight weight = Weight::DetectionTime;
    std::vector<Service> services;
    SourceLines lines; ///< from the parser; empty for a contract built in code

    /** Two contracts are equal when they state the same, wherever in a text they state it. */
    bool operator==(const Contract &other) const
    {
        return customer == other.customer && organisationHeader == other.organisationHeader && weight == other.weight
               && services == other.services;
    }
};

} // namespace jackdawdoor::contract
