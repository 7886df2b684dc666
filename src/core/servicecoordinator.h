/** What the coordinator of one service keeps: slot leases and the fleet's judgement of upstreams. */
#pragma once

#include "configuration/customerhistory.h"
#include "core/peermessage.h"
#include "health/fleethealth.h"
#include "limits/slotleasemanager.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Coordinator of one service. Exists only while placement ranks this instance first for the service. */
class ServiceCoordinator
{
public:
    ServiceCoordinator(TimePoint now, configuration::PolicyPointer customer, const contract::ServicePolicy &policy, std::uint64_t version);

    /** Continues with a later version of the contract. */
    void adopt(TimePoint now, configuration::PolicyPointer customer, const contract::ServicePolicy &policy, std::uint64_t version);

    /** Books a holder's report and returns its grant with all current verdicts. */
    ServiceUpdate onReport(TimePoint now, const InstanceRef &from, const ServiceReport &report);

    /** Counts upstreams at these sorted addresses as unusable for the healthy floor. */
    void setLeavingAddresses(const std::vector<std::string> &addresses);

    /** Drops expired leases; follows the fleet's visibility. */
    void onTick(TimePoint now, int listed, int visible);

    std::uint64_t policyVersion() const;

    /** Note of the latest judgement when the healthy floor kept upstreams that the evidence would eject. */
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
