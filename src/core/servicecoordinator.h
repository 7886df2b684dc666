/** Slot leases and fleet-wide health of one service, kept by its coordinator. */
#pragma once

#include "configuration/customerhistory.h"
#include "core/peermessage.h"
#include "health/fleethealth.h"
#include "limits/slotleasemanager.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Coordinator of one service; exists while placement ranks this instance first for the service. */
class ServiceCoordinator
{
public:
    ServiceCoordinator(TimePoint now, configuration::PolicyPointer customer, const contract::ServicePolicy &policy, std::uint64_t version);

    /** Switches to a later version of the contract. */
    void adopt(TimePoint now, configuration::PolicyPointer customer, const contract::ServicePolicy &policy, std::uint64_t version);

    /** Processes a holder's report; returns its grant of slots and all current verdicts. */
    ServiceUpdate onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report);

    /** Counts upstreams at these sorted addresses as unusable for the healthy floor. */
    void setLeavingAddresses(const std::vector<std::string> &addresses);

    /** Drops expired leases. `visible` of the `listed` instances are live or leaving in the membership view. */
    void onTick(TimePoint now, int listed, int visible);

    std::uint64_t policyVersion() const;

    /** Set if the healthy floor prevented ejections at the latest evaluation. */
    const std::optional<health::FloorBound> &floorBound() const;

    const limits::SlotLeaseManager &ledger() const;

private:
    configuration::PolicyPointer m_customer; ///< keeps the policy alive
    const contract::ServicePolicy *m_policy; ///< points into `m_customer`
    std::uint64_t m_version;
    limits::SlotLeaseManager m_ledger;
    health::FleetHealth m_health;
};

} // namespace jackdawdoor::core
