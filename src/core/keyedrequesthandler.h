/** Requests with idempotency keys: admission at the home, forwarding and resolution elsewhere, outcome queries. */
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

/** Guards the keys of one instance: as home, as witness and as an instance that resolves keys of others. */
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

    /** Answers "what became of this key". The answer goes to the request id. */
    void onOutcomeQuery(TimePoint now, RequestId query, const std::string &key);

    /** The home gave no answer to a forwarded request. */
    void onForwardFailed(TimePoint now, RequestId request);

    void onMessage(TimePoint now, const InstanceRef &from, const idempotency::IdempotencyMessage &message);
    void onCallerGone(TimePoint now, RequestId request);
    void onTick(TimePoint now);

    /** Stops admission and hands the table over once the admitted keys have ended. */
    void beginStop(TimePoint now);

    idempotency::StopProgress stopProgress() const;

    /** To be called first when this process notices that it was paused. */
    void resumeAfterPause(TimePoint now);

    /** Requests that wait for a witness, a home or a running copy. */
    std::size_t waitingCount() const;

    std::size_t homeSize() const; ///< keys in the home table
    std::size_t witnessSize() const; ///< keys in the witness table

private:
    struct Resolution {
        PreparedRequest prepared; ///< without operation for an outcome query
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
    std::map<std::string, std::vector<PreparedRequest>> m_waiting; ///< by key
    std::map<RequestId, Resolution> m_resolutions;
};

} // namespace jackdawdoor::core
