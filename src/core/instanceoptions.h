/** Construction parameters of Instance. */
#pragma once

#include "configuration/contractcompiler.h"
#include "core/contractcompiler.h"
#include "idempotency/ticket.h"
#include "membership/member.h"

#include <cstdint>
#include <utility>

namespace jackdawdoor::core {

/** Identity, start time and hooks of an instance. */
struct InstanceOptions {
    membership::Member self;
    TimePoint startedAt;
    std::uint64_t seed = 0; ///< seed of the random source
    idempotency::TicketAuthenticator authenticate;
    configuration::ContractCompiler compile = compileContract;
};

/** Builds InstanceOptions step by step. */
class InstanceOptionsBuilder
{
public:
    /** Identity: id, incarnation, addresses and data centre. */
    InstanceOptionsBuilder &self(membership::Member member)
    {
        m_options.self = std::move(member);
        return *this;
    }

    /** Start of the process on the core's clock. */
    InstanceOptionsBuilder &startedAt(TimePoint time)
    {
        m_options.startedAt = time;
        return *this;
    }

    /** Seed of the random source. */
    InstanceOptionsBuilder &seed(std::uint64_t value)
    {
        m_options.seed = value;
        return *this;
    }

    /** Hook that authenticates tickets with the fleet key. */
    InstanceOptionsBuilder &authenticate(idempotency::TicketAuthenticator hook)
    {
        m_options.authenticate = std::move(hook);
        return *this;
    }

    InstanceOptions build() const
    {
        return m_options;
    }

private:
    InstanceOptions m_options;
};

} // namespace jackdawdoor::core
