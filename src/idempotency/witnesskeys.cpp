#include "idempotency/witnesskeys.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

/** How long a completed handover is kept. Dropping it is safe: keys are then closed one by one again. */
constexpr Duration completionRetention = std::chrono::hours{1};

/** Outcome as reported to other instances: Unknown for a key that is recorded without an outcome. */
KeyOutcome outcomeForReply(const KeyOutcome &outcome)
{
    KeyOutcome reply = outcome;
    if (reply.kind == OutcomeKind::InProgress) {
        reply.kind = OutcomeKind::Unknown;
    }
    return reply;
}

Reply replyOf(const IdempotencyKey &key, OutcomeKind kind)
{
    return Reply{key, KeyOutcome{kind, 0, {}}};
}

} // namespace

WitnessKeys::WitnessKeys(InstanceRef self, KeyLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_clocks(m_limits.expiryMargin, m_limits.maximumIssuers)
{
}

std::vector<Outgoing<IdempotencyMessage>> WitnessKeys::onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message)
{
    m_now = std::max(m_now, now);
    // Only the home itself may record its keys and report their outcomes.
    if (const auto *record = std::get_if<Record>(&message); record != nullptr && from == record->key.ticket.home) {
        return {{from, onRecord(*record)}};
    }
    if (const auto *update = std::get_if<OutcomeUpdate>(&message); update != nullptr && from == update->key.ticket.home) {
        storeOutcome(update->key, update->outcome);
        return {{from, Updated{update->key}}};
    }
    if (const auto *close = std::get_if<Close>(&message)) {
        return {{from, onClose(*close)}};
    }
    if (const auto *query = std::get_if<Query>(&message)) {
        return {{from, onQuery(*query)}};
    }
    if (const auto *chunk = std::get_if<HandoverChunk>(&message); chunk != nullptr && from == chunk->home) {
        return onChunk(from, *chunk);
    }
    if (const auto *complete = std::get_if<HandoverComplete>(&message); complete != nullptr && from == complete->home) {
        return onComplete(from, *complete);
    }
    return {};
}

IdempotencyMessage WitnessKeys::onRecord(const Record &message)
{
    if (!isWitnessOf(message.key)) {
        return Refused{message.key};
    }
    const TicketAge age = m_clocks.evaluate(m_now, message.key.ticket);
    const std::string text = message.key.encode();
    if (const Entry *entry = findEntry(message.key, text)) {
        if (entry->outcome.kind == OutcomeKind::NotRun) {
            return Refused{message.key};
        }
        return Recorded{message.key};
    }
    const bool mayRecord = age == TicketAge::Valid && !hasCompleteHandover(message.key.ticket.home);
    if (mayRecord && addEntry(message.key, text, KeyOutcome{OutcomeKind::InProgress, message.fingerprint, {}}) != nullptr) {
        return Recorded{message.key};
    }
    return Refused{message.key};
}

IdempotencyMessage WitnessKeys::onClose(const Close &message)
{
    if (!isWitnessOf(message.key)) {
        return replyOf(message.key, OutcomeKind::NotResponsible);
    }
    const TicketAge age = m_clocks.evaluate(m_now, message.key.ticket);
    const std::string text = message.key.encode();
    if (const Entry *entry = findEntry(message.key, text)) {
        if (entry->outcome.kind == OutcomeKind::NotRun) {
            return Closed{message.key};
        }
        return Reply{message.key, outcomeForReply(entry->outcome)};
    }
    if (age == TicketAge::PastRetention) {
        return replyOf(message.key, OutcomeKind::Unknown);
    }
    // Records of an expired ticket, or of a home that has handed over, are refused without an entry.
    const bool refusedAnyway = age == TicketAge::Expired || hasCompleteHandover(message.key.ticket.home);
    if (refusedAnyway || addEntry(message.key, text, KeyOutcome{OutcomeKind::NotRun, 0, {}}) != nullptr) {
        return Closed{message.key};
    }
    return replyOf(message.key, OutcomeKind::Unknown);
}

IdempotencyMessage WitnessKeys::onQuery(const Query &message)
{
    if (!isWitnessOf(message.key)) {
        return replyOf(message.key, OutcomeKind::NotResponsible);
    }
    const Entry *entry = findEntry(message.key, message.key.encode());
    if (entry == nullptr) {
        return replyOf(message.key, OutcomeKind::Unknown);
    }
    return Reply{message.key, outcomeForReply(entry->outcome)};
}

void WitnessKeys::storeOutcome(const IdempotencyKey &key, const KeyOutcome &outcome)
{
    if (!isWitnessOf(key) || outcomePrecedence(outcome.kind) == 0) {
        return;
    }
    const TicketAge age = m_clocks.evaluate(m_now, key.ticket);
    const std::string text = key.encode();
    Entry *entry = findEntry(key, text);
    if (entry == nullptr && age != TicketAge::PastRetention) {
        entry = addEntry(key, text, KeyOutcome{OutcomeKind::InProgress, outcome.fingerprint, {}});
    }
    if (entry != nullptr) {
        merge(*entry, outcome);
    }
}

WitnessKeys::Messages WitnessKeys::onChunk(const InstanceRef &from, const HandoverChunk &message)
{
    HomeRecords *home = findOrAddHome(message.home);
    if (home == nullptr || message.index >= m_limits.maximumEntries) {
        return {};
    }
    for (const HandoverEntry &entry : message.entries) {
        if (entry.key.ticket.home == message.home) {
            storeOutcome(entry.key, entry.outcome);
        }
    }
    if (!home->complete) {
        home->chunks.insert(message.index);
    }
    home->dropAfter = m_now + completionRetention;
    return {{from, HandoverConfirmed{message.home, message.index}}};
}

WitnessKeys::Messages WitnessKeys::onComplete(const InstanceRef &from, const HandoverComplete &message)
{
    HomeRecords *home = findOrAddHome(message.home);
    if (home == nullptr) {
        return {};
    }
    const bool allThere = home->chunks.size() == message.chunks && (home->chunks.empty() || *home->chunks.rbegin() < message.chunks);
    if (!home->complete && !allThere) {
        return {};
    }
    home->complete = true;
    home->chunks.clear();
    home->dropAfter = m_now + completionRetention;
    return {{from, HandoverConfirmed{message.home, message.chunks}}};
}

} // namespace jackdawdoor::idempotency
