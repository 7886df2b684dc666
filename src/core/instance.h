/** One proxy instance: the interface of the decision core to its adapters.
 *
 * Adapters report each input with the current time and execute the returned effects in order. An Instance uses no
 * sockets, threads, clocks or files, so that thousands of them fit into one test process.
 */
#pragma once

#include "base/random.h"
#include "configuration/configuration.h"
#include "core/instanceoptions.h"
#include "core/instancestatus.h"
#include "core/keyedrequesthandler.h"
#include "core/outbox.h"
#include "core/placementquery.h"
#include "core/platformlist.h"
#include "core/requestdispatcher.h"
#include "core/servicetable.h"
#include "idempotency/ticketissuer.h"
#include "membership/membership.h"
#include "placement/placementtable.h"

#include <string>

namespace jackdawdoor::core {

/** Maximum interval between calls of onTick(); the resolution of all deadlines. */
constexpr Duration tickPeriod = std::chrono::milliseconds{50};

/** The decision core of one instance. */
class Instance
{
public:
    explicit Instance(InstanceOptions options);
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Must be called every tickPeriod. */
    Effects onTick(TimePoint now);

    /** A complete request arrived from a caller, or from another instance when `forwarded`. */
    Effects onRequest(TimePoint now, const CallerRequest &request);

    /** The caller disconnected before the request was answered completely. */
    Effects onCallerGone(TimePoint now, RequestId request);

    /** The head of an upstream's answer arrived. */
    Effects onAnswerHead(TimePoint now, const AnswerHead &head);

    /** An attempt ended. Every DispatchAttempt is followed by exactly one report. */
    Effects onAttemptFinished(TimePoint now, const AttemptReport &report);

    /** The peer did not answer a forwarded request. */
    Effects onForwardFailed(TimePoint now, RequestId request);

    /** A control message arrived from an authenticated peer. */
    Effects onPeerMessage(TimePoint now, const InstanceRef &from, const PeerMessage &message);

    /** Results of ReadLog. */
    Effects onLogPage(TimePoint now, const configuration::LogPage &page);
    Effects onLogFailed(TimePoint now, const Error &error);

    /** A new version of the platform's list was read. */
    Effects onInstanceList(TimePoint now, const PlatformList &list);

    /** Asks for the outcome of an idempotency key; answered like a request with the id `query`. */
    Effects onOutcomeQuery(TimePoint now, RequestId query, const std::string &key);

    /** A caller asks which instances to use. */
    PlacementReply onPlacementQuery(TimePoint now, const PlacementQuery &query);

    /** Starts a graceful shutdown; StopFinished follows when all work has ended. */
    Effects beginStop(TimePoint now);

    /** State for operators. */
    InstanceStatus status(TimePoint now) const;

    /** True when a contract is in force and the instance takes requests. */
    bool ready() const;

    /** Header that names a caller's organisation, or an empty string. */
    std::string organisationHeader(const CustomerId &customer) const;

    /** Largest request body of the operation; 0 when there is no such operation. */
    std::uint64_t maximumRequestBytes(const ServiceId &service, const std::string &method, const std::string &path) const;

    /** The customer's published contract state, as publishers need it; nothing when there is none. */
    std::optional<configuration::CustomerState> contractState(const CustomerId &customer) const;

    /** Offset of the configuration log before which the state of all customers is complete; 0 when unknown. */
    configuration::Offset configurationCompleteAsOf() const;

private:
    Effects collectEffects(TimePoint now);
    void applyConfiguration(TimePoint now, const configuration::ConfigurationStep &step);
    void deliver(TimePoint now, const InstanceRef &from, const PeerMessage &message);
    std::optional<Refusal> prepare(TimePoint now, const CallerRequest &request, PreparedRequest &prepared) const;
    std::optional<Refusal> refuseNonIdempotent(TimePoint now, const PreparedRequest &prepared) const;
    void handlePause(TimePoint now);
    void finishStopIfDone();

    InstanceOptions m_options;
    RandomSource m_random;
    membership::Membership m_membership;
    placement::PlacementTable m_placement;
    configuration::Configuration m_configuration;
    Outbox m_outbox;
    ServiceTable m_services;
    RequestDispatcher m_requests;
    KeyedRequestHandler m_keys;
    idempotency::TicketIssuer m_tickets;
    std::uint64_t m_pausesSeen = 0;
    bool m_stopping = false;
    bool m_stopReported = false;
};

} // namespace jackdawdoor::core
