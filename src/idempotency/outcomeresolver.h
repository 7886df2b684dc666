/** Finds the outcome of a key whose home is another instance.
 *
 * One resolver serves one request. A resend is forwarded to the home; an outcome query asks the home with a message.
 * If the home is gone or silent, the witness is asked to close the key. Without an answer from the witness in time the
 * outcome is unknown. Nothing but an answer from the home or witness incarnation that the ticket names is believed.
 */
#pragma once

#include "base/outgoing.h"
#include "idempotency/idempotencymessage.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace jackdawdoor::idempotency {

/** How long a resolver waits. */
struct ResolverTimes {
    Duration homeTimeout{}; ///< for an answer of the home to a Query; a forwarded request is ended by the core
    Duration witnessTimeout{}; ///< for the witness
    Duration retryInterval{}; ///< unanswered messages are sent again
};

/** What the request wants. */
enum class ResolverPurpose {
    Resend, ///< run it at the home unless it has run
    OutcomeQuery, ///< only say what became of it
};

/** No decision yet: send the messages and wait. */
struct ResolverWaits {
    bool operator==(const ResolverWaits &) const = default;
};

/** Forward the request to the home, then report onForwardFailed() or drop the resolver. */
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
    OutcomeResolver(IdempotencyKey key, std::uint64_t fingerprint, ResolverPurpose purpose, ResolverTimes times);

    /** Starts. `homeGone`: membership knows that the home incarnation has failed, left or been replaced. */
    ResolverStep start(TimePoint now, bool homeGone);

    /** The forwarded request got no answer, or the home answered that it is not that incarnation. */
    ResolverStep onForwardFailed(TimePoint now);

    /** Membership learnt that the home is gone. Ignored while a request is forwarded; its failure is reported. */
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
    ResolverTimes m_times;
    Stage m_stage = Stage::New;
    TimePoint m_deadline; ///< of the present stage
    TimePoint m_nextSend;
};

} // namespace jackdawdoor::idempotency
