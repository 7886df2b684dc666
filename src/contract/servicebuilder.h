/** Builder of Service, for code that makes contracts without parsing text. */
#pragma once

#include "contract/service.h"

#include <utility>

namespace jackdawdoor::contract {

/** Builds a Service. Does not validate: untrusted input must go through parseContract(). */
class ServiceBuilder
{
public:
    explicit ServiceBuilder(std::string name)
    {
        m_service.name = std::move(name);
    }

    ServiceBuilder &peakRequestsPerSecond(double rate)
    {
        m_service.peakRequestsPerSecond = rate;
        return *this;
    }

    ServiceBuilder &healthyFloor(HealthyFloor floor)
    {
        m_service.healthyFloor = floor;
        return *this;
    }

    ServiceBuilder &upstream(Upstream upstream)
    {
        m_service.upstreams.push_back(std::move(upstream));
        return *this;
    }

    ServiceBuilder &operation(Operation operation)
    {
        m_service.operations.push_back(std::move(operation));
        return *this;
    }

    Service build() const
    {
        return m_service;
    }

private:
    Service m_service;
};

} // namespace jackdawdoor::contract
