/** Quotas of organisations at one instance: connects the decision with the other instances, the metrics and the log. */
#pragma once

#include "fleet/fleetmessage.h"
#include "limits/organisationquota.h"
#include "net/eventloop.h"
#include "proxy/proxymetrics.h"
#include "routing/organisation.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** How QuotaControl reaches the other instances. */
struct QuotaHooks {
    std::function<void(const std::vector<InstanceId> &, const fleet::FleetMessage &)> send{}; ///< to these, and those that serve
    std::function<void(const fleet::FleetMessage &)> broadcast{}; ///< to all live instances
    std::function<std::size_t()> members{}; ///< number of all live instances
};

/** Decides on requests of organisations with a quota. Without one, nothing is sent and no timer runs. */
class QuotaControl
{
public:
    QuotaControl(net::EventLoop &loop, ProxyMetrics &metrics, std::uint64_t seed);

    void setHooks(QuotaHooks hooks);

    /** Sets the quotas of a new configuration. */
    void setOrganisations(const routing::OrganisationTable &table);

    /** Decides on a request of the organisation. */
    limits::QuotaDecision admit(TimePoint now, const routing::Organisation &organisation, const std::string &requestId);

    /** An admitted request was refused afterwards and never ran. */
    void giveBack(TimePoint now, const routing::Organisation &organisation);

    /** Applies a report of another instance. */
    void receive(TimePoint now, const InstanceRef &from, const fleet::QuotaReport &report);

    /** The instance has left in a planned way. */
    void forget(const InstanceId &instance);

    /** Periodic work. */
    void tick(TimePoint now);

    /** This instance admits no more requests: tells the others, so that they don't take its silence for a cut. May be repeated. */
    void leave(TimePoint now);

private:
    void decayRequests(TimePoint now);
    void updateServing(TimePoint now);
    void sendReports();
    void sendFarewell(TimePoint now);
    void logRefusal(TimePoint now,
                    const routing::Organisation &organisation,
                    const std::string &requestId,
                    const limits::QuotaDecision &decision);
    void logInvalid(TimePoint now, const InstanceRef &from, int items);

    ProxyMetrics &m_metrics;
    QuotaHooks m_hooks;
    absl::flat_hash_map<std::uint64_t, limits::QuotaLimit> m_limits;
    limits::OrganisationQuota m_quota;
    net::Timer m_timer;
    bool m_sending = false; ///< the timer runs
    bool m_left = false;
    bool m_serving = false;
    double m_recentRequests = 0; ///< of organisations with a quota; decays
    TimePoint m_decayed{};
    TimePoint m_nextExpiry{};
    TimePoint m_nextRefusalLine{};
    TimePoint m_nextInvalidLine{};
    int m_unloggedRefusals = 0;
    int m_farewells = 0; ///< that are still to be sent
};

} // namespace jackdawdoor::proxy
