/** Finds the outcome of a key whose home is another instance.
 *
 * One resolver serves one request. A resend is forwarded to the home; an outcome query is sent to the home as a message.
 * If the home has failed or does not answer, the witness is asked to close the key. Without an answer from the witness
 * in time the outcome is unknown. Only answers from the home or witness incarnation that the ticket names are accepted.
 */
#pragma once

#include "base/outgoing.h"
#include "idempotency/idempotencymessage.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace jackdawdoor::idempotency {

/** Timeouts of a resolver. */
struct ResolverTimeouts {
    Duration homeTimeout{}; ///< for the home's answer to a Query; the core limits the time of a forwarded request
    Duration witnessTimeout{}; ///< for the witness's answer to a Close
    Duration retryInterval{}; ///< between transmissions of an unanswered message
};

/** Kind of request that a resolver serves. */
enum class ResolverPurpose {
    Resend, ///< run it at the home unless it has run
    OutcomeQuery, ///< only report its outcome
};

/** No decision yet: send the messages and wait. */
struct ResolverWaits {
    bool operator==(const ResolverWaits &) const = default;
};

/** Forward the request to the home; then call onForwardFailed() or delete the resolver. */
struct ForwardRequest {
    InstanceRef home;

    bool operator==(const ForwardRequest &) const = default;
};

/** The result: NotRun, Unknown, Completed with the answer, or InProgress (outcome queries only). */
struct Resolved {
    KeyOutcome outcome;

    bool operator==(const Resolved &) const = default;
};

using ResolverDecision = std::variant<ResolverWaits, ForwardRequest, Resolved>;

/** Decision and messages. A message may be addressed to this instance itself; the core then delivers it locally. */
struct ResolverStep {
    ResolverDecision decision;
    std::vector<Outgoing<IdempotencyMessage>> messages;
};

/** State machine for one request. After Resolved it does nothing more. */
class OutcomeResolver
{
public:
    /** `fingerprint` of the resent request, or 0 for an outcome query. */
    OutcomeResolver(IdempotencyKey key, std::uint64_t fingerprint, ResolverPurpose purpose, ResolverTimeouts timeouts);

    /** Starts. `homeGone`: by membership, the home incarnation has failed, left or been replaced. */
    ResolverStep start(TimePoint now, bool homeGone);

    /** The forwarded request got no answer, or the home answered that it is not that incarnation. */
    ResolverStep onForwardFailed(TimePoint now);

    /** Membership reports that the home is gone. Ignored for a forwarded request, which ends by onForwardFailed(). */
    ResolverStep onHomeGone(TimePoint now);

    /** Handles Reply and Closed for this key; ignores others. */
    ResolverStep onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message);

    ResolverStep onTick(TimePoint now);

    const IdempotencyKey &key() const;
    bool finished() const;

private:
    enum class Stage {
        New,
        Forwarded,
        AskingHome,
        AskingWitness,
        Finished,
    };

    ResolverStep askHome(TimePoint now);
    ResolverStep askWitness(TimePoint now);
    ResolverStep send(TimePoint now);
    ResolverStep onClosed(const InstanceRef &from);
    ResolverStep onReply(TimePoint now, const InstanceRef &from, const KeyOutcome &outcome);
    ResolverStep finish(KeyOutcome outcome);

    IdempotencyKey m_key;
    std::uint64_t m_fingerprint;
    ResolverPurpose m_purpose;
    ResolverTimeouts m_timeouts;
    Stage m_stage = Stage::New;
    TimePoint m_deadline; ///< of the current stage
    TimePoint m_nextSend;
};

} // namespace jackdawdoor::idempotency
