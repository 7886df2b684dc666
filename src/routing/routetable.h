/** Lookup of routes in one version of the operator's configuration. */
#pragma once

#include "routing/organisation.h"
#include "routing/route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::routing {

/** Immutable route table. */
class RouteTable
{
public:
    RouteTable(std::uint64_t version,
               std::vector<Route> routes,
               std::vector<ServiceLimits> services,
               CallerLimits limits,
               OrganisationTable organisations = {});

    std::uint64_t version() const;

    /** Returns the host's route with the longest matching prefix, or nullptr. A port in the host is ignored. */
    const Route *match(std::string_view host, std::string_view path) const;

    /** Returns the connection limit for each upstream of the service; zero if unlimited. */
    int maxConnections(const ServiceId &service) const;

    const CallerLimits &limits() const;

    /** Organisations whose callers may send requests; disabled if the configuration has none. */
    const OrganisationTable &organisations() const;

    /** Routes by host, longest prefix first. */
    const std::map<std::string, std::vector<Route>, std::less<>> &routesByHost() const;

private:
    std::uint64_t m_version;
    std::map<std::string, std::vector<Route>, std::less<>> m_routesByHost;
    std::map<ServiceId, ServiceLimits> m_services;
    CallerLimits m_limits;
    OrganisationTable m_organisations;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace jackdawdoor::routing
