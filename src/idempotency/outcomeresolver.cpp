#include "idempotency/outcomeresolver.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

OutcomeResolver::OutcomeResolver(IdempotencyKey key, std::uint64_t fingerprint, ResolverPurpose purpose, ResolverTimeouts timeouts)
    : m_key(std::move(key))
    , m_fingerprint(fingerprint)
    , m_purpose(purpose)
    , m_timeouts(timeouts)
{
}

ResolverStep OutcomeResolver::start(TimePoint now, bool homeGone)
{
    if (m_stage != Stage::New) {
        return {};
    }
    if (homeGone) {
        return askWitness(now);
    }
    if (m_purpose == ResolverPurpose::Resend) {
        m_stage = Stage::Forwarded;
        return {ForwardRequest{m_key.ticket.home}, {}};
    }
    return askHome(now);
}

ResolverStep OutcomeResolver::onForwardFailed(TimePoint now)
{
    return m_stage == Stage::Forwarded ? askWitness(now) : ResolverStep{};
}

ResolverStep OutcomeResolver::onHomeGone(TimePoint now)
{
    return m_stage == Stage::AskingHome ? askWitness(now) : ResolverStep{};
}

ResolverStep OutcomeResolver::onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message)
{
    const auto *closed = std::get_if<Closed>(&message);
    if (closed != nullptr && closed->key == m_key) {
        return onClosed(from);
    }
    const auto *reply = std::get_if<Reply>(&message);
    if (reply != nullptr && reply->key == m_key) {
        return onReply(now, from, reply->outcome);
    }
    return {};
}

ResolverStep OutcomeResolver::onClosed(const InstanceRef &from)
{
    if (m_stage != Stage::AskingWitness || from != m_key.ticket.witness) {
        return {};
    }
    return finish(KeyOutcome{OutcomeKind::NotRun, 0, {}});
}

ResolverStep OutcomeResolver::onReply(TimePoint now, const InstanceRef &from, const KeyOutcome &outcome)
{
    const Ticket &ticket = m_key.ticket;
    const bool certain = outcome.kind == OutcomeKind::Completed || outcome.kind == OutcomeKind::NotRun;
    const bool asking = m_stage == Stage::AskingHome || m_stage == Stage::AskingWitness;
    if (asking && certain && (from == ticket.home || from == ticket.witness)) {
        return finish(outcome);
    }
    // NotResponsible from the same id means that another incarnation has replaced the one asked for.
    const bool notResponsible = outcome.kind == OutcomeKind::NotResponsible;
    if (m_stage == Stage::AskingHome && from.id == ticket.home.id) {
        if (notResponsible) {
            return askWitness(now);
        }
        return from == ticket.home ? finish(outcome) : ResolverStep{};
    }
    if (m_stage == Stage::AskingWitness && (from == ticket.witness || (notResponsible && from.id == ticket.witness.id))) {
        return finish(KeyOutcome{OutcomeKind::Unknown, 0, {}});
    }
    return {};
}

ResolverStep OutcomeResolver::onTick(TimePoint now)
{
    if (m_stage != Stage::AskingHome && m_stage != Stage::AskingWitness) {
        return {};
    }
    if (now >= m_deadline) {
        return m_stage == Stage::AskingHome ? askWitness(now) : finish(KeyOutcome{OutcomeKind::Unknown, 0, {}});
    }
    return now >= m_nextSend ? send(now) : ResolverStep{};
}

const IdempotencyKey &OutcomeResolver::key() const
{
    return m_key;
}

bool OutcomeResolver::finished() const
{
    return m_stage == Stage::Finished;
}

ResolverStep OutcomeResolver::askHome(TimePoint now)
{
    m_stage = Stage::AskingHome;
    m_deadline = now + m_timeouts.homeTimeout;
    return send(now);
}

ResolverStep OutcomeResolver::askWitness(TimePoint now)
{
    m_stage = Stage::AskingWitness;
    m_deadline = now + m_timeouts.witnessTimeout;
    return send(now);
}

ResolverStep OutcomeResolver::send(TimePoint now)
{
    m_nextSend = now + m_timeouts.retryInterval;
    ResolverStep step;
    if (m_stage == Stage::AskingHome) {
        step.messages.push_back({m_key.ticket.home, Query{m_key}});
    } else {
        step.messages.push_back({m_key.ticket.witness, Close{m_key}});
    }
    return step;
}

ResolverStep OutcomeResolver::finish(KeyOutcome outcome)
{
    m_stage = Stage::Finished;
    const bool otherRequest = m_fingerprint != 0 && outcome.fingerprint != 0 && m_fingerprint != outcome.fingerprint;
    if (otherRequest) {
        // The outcome belongs to an earlier, different request with the same key.
        outcome = KeyOutcome{OutcomeKind::Unknown, outcome.fingerprint, {}};
    }
    return {Resolved{std::move(outcome)}, {}};
}

} // namespace jackdawdoor::idempotency
