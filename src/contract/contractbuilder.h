/** Builder of Contract, for code that makes contracts without parsing text. */
#pragma once

#include "contract/contract.h"

#include <utility>

namespace jackdawdoor::contract {

/** Builds a Contract. Does not validate: untrusted input must go through parseContract(). */
class ContractBuilder
{
public:
    ContractBuilder(std::string customer, Weight weight)
    {
        m_contract.customer = std::move(customer);
        m_contract.weight = weight;
    }

    ContractBuilder &organisationHeader(std::string header)
    {
        m_contract.organisationHeader = std::move(header);
        return *this;
    }

    ContractBuilder &service(Service service)
    {
        m_contract.services.push_back(std::move(service));
        return *this;
    }

    Contract build() const
    {
        return m_contract;
    }

private:
    Contract m_contract;
};

} // namespace jackdawdoor::contract
