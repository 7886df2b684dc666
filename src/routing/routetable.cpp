#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jackdawdoor::routing {

namespace {

std::string lowerHost(std::string_view host)
{
    std::string lower(host.substr(0, host.find(':')));
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

} // namespace

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceLimits> services,
                       CallerLimits limits,
                       OrganisationTable organisations)
    : m_version(version)
    , m_limits(limits)
    , m_organisations(std::move(organisations))
{
    for (Route &route : routes) {
        m_routesByHost[lowerHost(route.host)].push_back(std::move(route));
    }
    for (auto &[host, rules] : m_routesByHost) {
        std::stable_sort(rules.begin(), rules.end(), [](const Route &first, const Route &second) {
            return first.pathPrefix.size() > second.pathPrefix.size();
        });
    }
    for (ServiceLimits &service : services) {
        const ServiceId id = service.service;
        m_services.insert_or_assign(id, std::move(service));
    }
}

std::uint64_t RouteTable::version() const
{
    return m_version;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(lowerHost(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    const auto rule = std::find_if(found->second.begin(), found->second.end(), [path](const Route &route) {
        return path.substr(0, route.pathPrefix.size()) == route.pathPrefix;
    });
    return rule == found->second.end() ? nullptr : &*rule;
}

int RouteTable::maxConnections(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.maxConnections;
}

const CallerLimits &RouteTable::limits() const
{
    return m_limits;
}

const OrganisationTable &RouteTable::organisations() const
{
    return m_organisations;
}

const std::map<std::string, std::vector<Route>, std::less<>> &RouteTable::routesByHost() const
{
    return m_routesByHost;
}

} // namespace jackdawdoor::routing
