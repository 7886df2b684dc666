/** Explanations of derived policy values. */
#pragma once

#include "contract/contract.h"

#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Contract key from which a value is derived. */
struct ExplanationSource {
    std::string keyPath;
    int line = 0; ///< 0 when the contract was not read from text

    bool operator==(const ExplanationSource &) const = default;
};

/** One derived value with its rule. */
struct Explanation {
    std::string subject; ///< service or operation: "customer/service" or "customer/service/operation"
    std::string name; ///< member of the policy, such as "attemptTimeout"
    std::string value; ///< number, "true", "false" or "none"
    std::string unit; ///< such as "ms"; empty for yes-or-no values
    std::string rule; ///< the rule and its reason in words
    std::vector<ExplanationSource> sources; ///< the deciding one first; never empty

    bool operator==(const Explanation &) const = default;
};

/** Every derived value of the contract's policy, in the policy's order. */
std::vector<Explanation> explainPolicy(const Contract &contract);

} // namespace jackdawdoor::contract
