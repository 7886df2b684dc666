/** One version of the operator's configuration, ready for lookups. */
#pragma once

#include "routing/route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::routing {

/** Immutable routes of one version. */
class RouteTable
{
public:
    RouteTable(std::uint64_t version, std::vector<Route> routes, std::vector<ServiceLimits> services, CallerLimits limits);

    std::uint64_t version() const;

    /** The route of that host with the longest prefix that begins the path, or nullptr. A port in the host is ignored. */
    const Route *match(std::string_view host, std::string_view path) const;

    /** Connections allowed to each upstream of the service; zero when not limited. */
    int maxConnections(const ServiceId &service) const;

    const CallerLimits &limits() const;

    /** All routes, by host, longest prefix first. */
    const std::map<std::string, std::vector<Route>, std::less<>> &routesByHost() const;

private:
    std::uint64_t m_version;
    std::map<std::string, std::vector<Route>, std::less<>> m_routesByHost;
    std::map<ServiceId, ServiceLimits> m_services;
    CallerLimits m_limits;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace jackdawdoor::routing
