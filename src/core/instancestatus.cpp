#include "core/instancestatus.h"

#include "core/instance.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdawdoor::core {

using nlohmann::json;

namespace {

ServiceStatus statusOf(TimePoint now, const ServiceState &service, const membership::Member *coordinator)
{
    ServiceStatus status;
    status.service = service.policy->id;
    status.policyVersion = service.policyVersion;
    status.coordinator = coordinator == nullptr ? InstanceId{} : coordinator->ref.id;
    status.usable = service.health.usableCount(now);
    status.healthyFloor = service.policy->health.healthyFloor;
    status.queued = service.queue.size();
    status.retryBalance = service.retries.balance();
    for (const contract::UpstreamPolicy &upstream : service.policy->upstreams) {
        const health::UpstreamState state = service.health.stateOf(now, upstream.id);
        status.upstreams.push_back(
            {upstream.id, state.standing, state.severity, service.slots.freeSlots(now, upstream.id), service.slots.inUse(upstream.id)});
    }
    return status;
}

json serviceToJson(const ServiceStatus &service)
{
    json upstreams = json::array();
    for (const UpstreamStatus &upstream : service.upstreams) {
        upstreams.push_back({{"upstream", upstream.upstream.value},
                             {"standing", health::standingName(upstream.standing)},
                             {"severity", upstream.severity},
                             {"slots_free", upstream.slotsFree},
                             {"slots_in_use", upstream.slotsInUse}});
    }
    return {{"service", service.service.value},
            {"policy_version", service.policyVersion},
            {"coordinator", service.coordinator.value},
            {"usable", service.usable},
            {"healthy_floor", service.healthyFloor},
            {"queued", service.queued},
            {"retry_balance", service.retryBalance},
            {"upstreams", std::move(upstreams)}};
}

json countsToJson(const RequestCounts &counts)
{
    return {{"admitted", counts.admitted},
            {"relayed", counts.relayed},
            {"refused_not_run", counts.refusedNotRun},
            {"refused_unknown", counts.refusedUnknown},
            {"attempts", counts.attempts},
            {"retries", counts.retries}};
}

} // namespace

InstanceStatus Instance::status(TimePoint now) const
{
    InstanceStatus status;
    status.self = m_options.self.ref;
    status.ready = ready();
    status.stopping = m_stopping;
    for (const auto &[customer, version] : m_configuration.versions()) {
        status.versions.push_back({customer, version});
    }
    status.members = m_membership.view()->members;
    for (const auto &[id, service] : m_services.services()) {
        status.services.push_back(statusOf(now, *service, m_services.coordinatorOf(id)));
    }
    for (const auto &[id, coordinator] : m_services.coordinated()) {
        status.coordinated.push_back(id);
    }
    status.activeRequests = m_requests.activeCount();
    status.homeKeys = m_keys.homeSize();
    status.witnessKeys = m_keys.witnessSize();
    status.counts = m_requests.counts();
    return status;
}

std::string statusToJson(const InstanceStatus &status)
{
    json document = {{"instance", status.self.id.value},
                     {"incarnation", status.self.incarnation},
                     {"ready", status.ready},
                     {"stopping", status.stopping},
                     {"active_requests", status.activeRequests},
                     {"home_keys", status.homeKeys},
                     {"witness_keys", status.witnessKeys},
                     {"requests", countsToJson(status.counts)},
                     {"versions", json::object()},
                     {"members", json::array()},
                     {"services", json::array()},
                     {"coordinates", json::array()}};
    for (const VersionStatus &version : status.versions) {
        document["versions"][version.customer.value] = version.version;
    }
    for (const membership::Member &member : status.members) {
        document["members"].push_back({{"id", member.ref.id.value},
                                       {"incarnation", member.ref.incarnation},
                                       {"address", member.address},
                                       {"data_centre", member.dataCentre.value},
                                       {"state", membership::stateName(member.state)}});
    }
    for (const ServiceStatus &service : status.services) {
        document["services"].push_back(serviceToJson(service));
    }
    for (const ServiceId &service : status.coordinated) {
        document["coordinates"].push_back(service.value);
    }
    return document.dump();
}

} // namespace jackdawdoor::core
