/** Requests with idempotency keys: admission at the home, forwarding and outcome resolution elsewhere, outcome queries. */
#pragma once

#include "core/activerequest.h"
#include "core/outbox.h"
#include "core/requestdispatcher.h"
#include "idempotency/homekeys.h"
#include "idempotency/outcomeresolver.h"
#include "idempotency/ticketissuer.h"
#include "idempotency/witnesskeys.h"
#include "membership/membership.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::core {

/** Handles idempotency keys as their home, as their witness, and as an instance that resolves keys of other homes. */
class KeyedRequestHandler
{
public:
    /** The references must outlive this object. */
    KeyedRequestHandler(InstanceRef self,
                        idempotency::TicketAuthenticator authenticate,
                        const membership::Membership &membership,
                        RequestDispatcher &requests,
                        Outbox &outbox);

    /** Handles a request that carries a key. */
    void onRequest(TimePoint now, PreparedRequest prepared);

    /** Answers a query for the outcome of a key under the request id `query`. */
    void onOutcomeQuery(TimePoint now, RequestId query, const std::string &key);

    /** The home did not answer a forwarded request. */
    void onForwardFailed(TimePoint now, RequestId request);

    void onMessage(TimePoint now, const InstanceRef &from, const idempotency::IdempotencyMessage &message);
    void onCallerGone(TimePoint now, RequestId request);
    void onTick(TimePoint now);

    /** Stops admission; hands the table over when all admitted keys have ended. */
    void beginStop(TimePoint now);

    idempotency::StopProgress stopProgress() const;

    /** Must be called before any other method when this process detects that it was paused. */
    void resumeAfterPause(TimePoint now);

    /** Number of keys with waiting requests and of resolutions in progress. */
    std::size_t waitingCount() const;

    std::size_t homeSize() const; ///< keys in the home table
    std::size_t witnessSize() const; ///< keys in the witness table

private:
    struct Resolution {
        PreparedRequest prepared; ///< has no operation if it is an outcome query
        idempotency::OutcomeResolver resolver;
        bool forwarded = false;
    };

    bool startDispatch(TimePoint now, const std::string &key);
    void finished(TimePoint now, const std::string &key, const RunReport &report);
    void applyAdmission(TimePoint now, PreparedRequest prepared, const std::string &key, const idempotency::Admission &decision);
    void applyStep(TimePoint now, const idempotency::HomeStep &step);
    void applyEvent(TimePoint now, const idempotency::KeyEvent &event);
    void answerWaiting(TimePoint now, const std::string &key, const RunReport &report);
    std::vector<PreparedRequest> takeWaiting(const std::string &key);
    void startResolution(TimePoint now, PreparedRequest prepared, const idempotency::IdempotencyKey &key);
    void applyResolver(TimePoint now, RequestId request, const idempotency::ResolverStep &step);
    void answerOutcome(TimePoint now, const PreparedRequest &prepared, const idempotency::KeyOutcome &outcome);
    void answerStored(const PreparedRequest &prepared, const idempotency::StoredAnswer &answer);
    void expireWaiting(TimePoint now);
    bool homeIsGone(const InstanceRef &home) const;

    InstanceRef m_self;
    idempotency::TicketAuthenticator m_authenticate;
    const membership::Membership &m_membership;
    RequestDispatcher &m_requests;
    Outbox &m_outbox;
    idempotency::HomeKeys m_home;
    idempotency::WitnessKeys m_witness;
    std::map<std::string, std::vector<PreparedRequest>> m_waiting; ///< requests waiting for a witness or a running copy, by key
    std::map<RequestId, Resolution> m_resolutions;
};

} // namespace jackdawdoor::core
