#include "contract/contract.h"
#include "contract/explanation.h"
#include "contract/policy.h"
#include "contract/servicerules.h"

namespace jackdawdoor::contract {

namespace {

CustomerPolicy deriveWithExplanations(const Contract &contract, std::vector<Explanation> &explanations)
{
    CustomerPolicy policy;
    policy.customer = CustomerId{contract.customer};
    policy.organisationHeader = contract.organisationHeader;
    policy.services.reserve(contract.services.size());
    for (std::size_t index = 0; index < contract.services.size(); ++index) {
        policy.services.push_back(deriveService(contract, index, explanations));
    }
    return policy;
}

} // namespace

CustomerPolicy derivePolicy(const Contract &contract)
{
    std::vector<Explanation> unused;
    return deriveWithExplanations(contract, unused);
}

std::vector<Explanation> explainPolicy(const Contract &contract)
{
    std::vector<Explanation> explanations;
    deriveWithExplanations(contract, explanations);
    return explanations;
}

} // namespace jackdawdoor::contract
