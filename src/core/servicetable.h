/** Services for which this instance handles requests, and services that it coordinates. */
#pragma once

#include "configuration/configuration.h"
#include "core/outbox.h"
#include "core/servicecoordinator.h"
#include "core/servicestate.h"
#include "placement/placementtable.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Creates service states on demand and exchanges slots, evidence and verdicts with coordinators and holders. */
class ServiceTable
{
public:
    /** The references must outlive this object. */
    ServiceTable(InstanceRef self, const configuration::Configuration &configuration, placement::PlacementTable &placement, Outbox &outbox);

    /** State of a service, created if necessary and marked as used; nullptr when no contract in force has the service. */
    ServiceState *findOrCreate(TimePoint now, const ServiceId &service);

    /** State of a service, or nullptr if there is none. */
    ServiceState *find(const ServiceId &service);

    /** Updates health, sends due reports, drops idle services and ends coordination that passed to another instance. */
    void onTick(TimePoint now);

    /** Applies a later version of a customer's contract. */
    void onConfigurationChanged(TimePoint now, const CustomerId &customer);

    /** Handles a holder's report; ignored unless this instance coordinates the service. */
    void onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report);

    /** Handles a coordinator's update. */
    void onUpdate(TimePoint now, const InstanceRef &from, const ServiceUpdate &update);

    /** Handles a crash suspect reported by another holder. */
    void onSuspectNotice(TimePoint now, const SuspectNotice &notice);

    /** Sends a report to the coordinator if one is due: periodically, and soon after unmet demand or a lowered grant. */
    void reportIfDue(TimePoint now, ServiceState &service);

    /** Sends crash suspects to the other holders of a service. */
    void shareSuspects(const ServiceState &service, const std::vector<idempotency::SuspectReport> &reports);

    /** Logs health changes and updates the ejected upstreams of the slot holder. */
    void applyHealthChanges(TimePoint now, ServiceState &service, const std::vector<health::HealthChange> &changes);

    /** Marks upstreams at these addresses as leaving and all others as present. */
    void setLeavingAddresses(const std::vector<std::string> &addresses);

    /** Drops all leases after a pause of this process, since they may have expired unnoticed. */
    void dropLeases();

    /** The instance that coordinates a service; nullptr when there is no candidate. */
    const membership::Member *coordinatorOf(const ServiceId &service) const;

    const std::map<ServiceId, std::unique_ptr<ServiceState>> &services() const;
    const std::map<ServiceId, std::unique_ptr<ServiceCoordinator>> &coordinated() const;

private:
    const contract::ServicePolicy *policyOf(const ServiceId &service, configuration::PolicyPointer &customer) const;
    ServiceCoordinator *findOrCreateCoordinator(TimePoint now, const ServiceId &service);
    bool isCoordinator(const ServiceId &service);
    void startCoordination(TimePoint now);
    void tickCoordinators(TimePoint now);
    void tickService(TimePoint now, ServiceState &service);
    bool isIdle(TimePoint now, const ServiceState &service) const;
    void markLeaving(ServiceState &service);

    InstanceRef m_self;
    const configuration::Configuration &m_configuration;
    placement::PlacementTable &m_placement;
    Outbox &m_outbox;
    std::map<ServiceId, std::unique_ptr<ServiceState>> m_services;
    std::map<ServiceId, std::unique_ptr<ServiceCoordinator>> m_coordinated;
    std::vector<std::string> m_leavingAddresses; ///< sorted
    std::uint64_t m_coordinationEpoch = 0; ///< epoch of the view for which startCoordination() last ran
    bool m_configurationChanged = false; ///< since startCoordination() last ran
};

} // namespace jackdawdoor::core
