/** Contract of one customer, as its operator writes it.
 *
 * It is the only input that changes behaviour; derivePolicy() computes the limits and budgets from it.
 */
#pragma once

#include "contract/service.h"
#include "contract/sourcelines.h"

#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Contract of one customer. Use ContractBuilder to make one in code and parseContract() to read one. */
struct Contract {
    std::string customer; ///< name of the customer
    std::string organisationHeader; ///< request header that names the caller's organisation; empty when there is none
    Weight weight = Weight::DetectionTime;
    std::vector<Service> services;
    SourceLines lines; ///< from the parser; empty for a contract built in code

    /** Compares the contents; line numbers are ignored. */
    bool operator==(const Contract &other) const
    {
        return customer == other.customer && organisationHeader == other.organisationHeader && weight == other.weight
               && services == other.services;
    }
};

} // namespace jackdawdoor::contract
