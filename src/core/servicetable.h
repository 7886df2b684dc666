/** The services of one instance: those that it handles requests for and those that it coordinates. */
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

/** Creates services on demand and exchanges slots, evidence and verdicts with coordinators and holders. */
class ServiceTable
{
public:
    /** The references must outlive this object. */
    ServiceTable(InstanceRef self, const configuration::Configuration &configuration, placement::PlacementTable &placement, Outbox &outbox);

    /** State of a service that is in force, created when needed; nullptr when no contract has it. */
    ServiceState *findOrCreate(TimePoint now, const ServiceId &service);

    /** State of a service if it has been used; nullptr otherwise. */
    ServiceState *find(const ServiceId &service);

    /** Runs health, sends due reports and drops what is no longer needed. */
    void onTick(TimePoint now);

    /** Puts later versions of a customer's contract in force. */
    void onConfigurationChanged(TimePoint now, const CustomerId &customer);

    /** A holder's report; ignored unless this instance coordinates the service. */
    void onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report);

    /** A coordinator's update. */
    void onUpdate(TimePoint now, const InstanceRef &from, const ServiceUpdate &update);

    /** Another holder's crash suspects. */
    void onSuspectNotice(TimePoint now, const SuspectNotice &notice);

    /** Reports at once when the service has unmet demand or urgent evidence. */
    void reportIfDue(TimePoint now, ServiceState &service);

    /** Tells the other holders of a service about crash suspects. */
    void shareSuspects(const ServiceState &service, const std::vector<idempotency::SuspectReport> &reports);

    /** Logs what health decided and passes ejections on to the slots. */
    void applyHealthChanges(TimePoint now, ServiceState &service, const std::vector<health::HealthChange> &changes);

    /** Marks upstreams at these addresses as leaving or as present. */
    void setLeavingAddresses(const std::vector<std::string> &addresses);

    /** Drops all leases after a pause of this process, since they may have lapsed unnoticed. */
    void dropLeases();

    /** The instance that coordinates a service; nullptr when none can. */
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
    std::uint64_t m_coordinationEpoch = 0; ///< view for which coordination was last taken up
    bool m_configurationChanged = false; ///< since coordination was last taken up
};

} // namespace jackdawdoor::core
