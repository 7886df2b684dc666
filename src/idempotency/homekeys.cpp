#include "idempotency/homekeys.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

/** Longest content type that is stored, which is also the limit of the message codec. */
constexpr std::size_t maximumContentTypeBytes = 256;

bool unfinished(KeyState state)
{
    return state == KeyState::Pending || state == KeyState::Ready || state == KeyState::Running;
}

KeyLimits clampToCodecLimits(KeyLimits limits)
{
    limits.maximumAnswerBytes = std::min(limits.maximumAnswerBytes, maximumStoredBodyBytes);
    limits.chunkEntries = std::clamp<std::size_t>(limits.chunkEntries, 1, maximumChunkEntries);
    return limits;
}

} // namespace

HomeKeys::HomeKeys(InstanceRef self, KeyLimits limits)
    : m_self(std::move(self))
    , m_limits(clampToCodecLimits(limits))
    , m_clocks(m_limits.expiryMargin, m_limits.maximumIssuers)
    , m_closedWhileFull(m_limits.closedFilterBits)
{
}

void HomeKeys::advanceTime(TimePoint now)
{
    m_now = std::max(m_now, now);
}

HomeEntry *HomeKeys::find(const std::string &key)
{
    const auto found = m_table.find(key);
    return found == m_table.end() ? nullptr : &found->second;
}

HomeEntry &HomeKeys::insert(const IdempotencyKey &key, const std::string &text, std::uint64_t fingerprint, KeyState state)
{
    const auto added = m_table.emplace(text, HomeEntry{}).first;
    m_dropOrder.emplace(m_clocks.dropTime(m_now, key.ticket), &added->first);
    HomeEntry &entry = added->second;
    entry.key = key;
    entry.fingerprint = fingerprint;
    entry.state = state;
    m_unfinished += unfinished(state) ? 1 : 0;
    return entry;
}

AdmitResult HomeKeys::admit(TimePoint now, const IdempotencyKey &key, std::uint64_t fingerprint)
{
    if (key.ticket.home != m_self) {
        return {ForwardToHome{key.ticket.home}, {}};
    }
    advanceTime(now);
    const std::string text = key.encode();
    const TicketAge age = m_clocks.evaluate(m_now, key.ticket);
    HomeStep step;
    HomeEntry *entry = find(text);
    Admission decision = entry != nullptr ? admitPresent(*entry, fingerprint, age, step) : admitAbsent(key, text, fingerprint, age, step);
    return {std::move(decision), std::move(step.messages)};
}

Admission HomeKeys::admitPresent(HomeEntry &entry, std::uint64_t fingerprint, TicketAge age, HomeStep &step)
{
    if (entry.fingerprint != 0 && entry.fingerprint != fingerprint) {
        return RefuseKey{KeyRefusal::KeyReused, Certainty::Unknown};
    }
    if (entry.state == KeyState::Idle) {
        if (!m_stopping && age == TicketAge::Valid) {
            setState(entry, KeyState::Ready);
            return DispatchPermitted{};
        }
        close(entry, m_stopping ? KeyRefusal::Stopping : KeyRefusal::Expired, step);
    }
    switch (entry.state) {
    case KeyState::Completed:
        return AnswerStored{entry.answer};
    case KeyState::Unknown:
        return RefuseKey{KeyRefusal::OutcomeUnknown, Certainty::Unknown};
    case KeyState::Closed:
        return RefuseKey{entry.closeReason, Certainty::NotRun};
    default:
        return JoinRunning{};
    }
}

Admission
HomeKeys::admitAbsent(const IdempotencyKey &key, const std::string &text, std::uint64_t fingerprint, TicketAge age, HomeStep &step)
{
    if (age != TicketAge::Valid) {
        return RefuseKey{KeyRefusal::Expired, age == TicketAge::Expired ? Certainty::NotRun : Certainty::Unknown};
    }
    if (m_stopping) {
        return RefuseKey{KeyRefusal::Stopping, Certainty::NotRun};
    }
    if (m_closedWhileFull.contains(text)) {
        return RefuseKey{KeyRefusal::TableFull, Certainty::NotRun};
    }
    if (m_table.size() >= m_limits.maximumEntries) {
        closeAbsent(key, text);
        return RefuseKey{KeyRefusal::TableFull, Certainty::NotRun};
    }
    HomeEntry &entry = insert(key, text, fingerprint, KeyState::Pending);
    entry.recordDeadline = m_now + m_limits.recordTimeout;
    sendRecord(entry, step);
    return AwaitWitness{};
}

void HomeKeys::closeAbsent(const IdempotencyKey &key, const std::string &text)
{
    if (m_table.size() >= m_limits.maximumEntries) {
        m_closedWhileFull.add(m_now, text, m_clocks.dropTime(m_now, key.ticket));
        return;
    }
    insert(key, text, 0, KeyState::Closed);
}

bool HomeKeys::startDispatch(TimePoint now, const std::string &key)
{
    advanceTime(now);
    HomeEntry *entry = find(key);
    if (entry == nullptr || entry->state != KeyState::Ready) {
        return false;
    }
    if (m_clocks.evaluate(m_now, entry->key.ticket) != TicketAge::Valid) {
        HomeStep unsent; // the next tick sends the update again
        close(*entry, KeyRefusal::Expired, unsent);
        return false;
    }
    setState(*entry, KeyState::Running);
    return true;
}

HomeStep HomeKeys::recordCompleted(TimePoint now, const std::string &key, StoredAnswer answer)
{
    advanceTime(now);
    HomeStep step;
    HomeEntry *entry = find(key);
    if (entry != nullptr && (entry->state == KeyState::Running || entry->state == KeyState::Unknown)) {
        storeAnswer(*entry, std::move(answer));
        setState(*entry, KeyState::Completed);
        sendUpdate(*entry, step);
    }
    continueStop(step);
    return step;
}

HomeStep HomeKeys::recordUnknown(TimePoint now, const std::string &key)
{
    advanceTime(now);
    HomeStep step;
    HomeEntry *entry = find(key);
    if (entry != nullptr && entry->state == KeyState::Running) {
        setState(*entry, KeyState::Unknown);
        sendUpdate(*entry, step);
    }
    continueStop(step);
    return step;
}

HomeStep HomeKeys::cancelDispatch(TimePoint now, const std::string &key)
{
    advanceTime(now);
    HomeStep step;
    HomeEntry *entry = find(key);
    if (entry != nullptr && entry->state == KeyState::Ready) {
        close(*entry, KeyRefusal::Closed, step);
    }
    continueStop(step);
    return step;
}

HomeStep HomeKeys::recordNotRun(TimePoint now, const std::string &key, NotRunAction next)
{
    advanceTime(now);
    HomeStep step;
    HomeEntry *entry = find(key);
    // A Ready key was never dispatched, or only in attempts that provably did not run.
    if (entry != nullptr && (entry->state == KeyState::Running || entry->state == KeyState::Ready)) {
        if (next == NotRunAction::RetryNow) {
            setState(*entry, KeyState::Ready);
        } else if (next == NotRunAction::LeaveOpen && !m_stopping) {
            setState(*entry, KeyState::Idle);
        } else {
            close(*entry, m_stopping ? KeyRefusal::Stopping : KeyRefusal::Closed, step);
        }
    }
    continueStop(step);
    return step;
}

KeyOutcome HomeKeys::outcomeOf(TimePoint now, const IdempotencyKey &key)
{
    if (key.ticket.home != m_self) {
        return KeyOutcome{OutcomeKind::NotResponsible, 0, {}};
    }
    advanceTime(now);
    const std::string text = key.encode();
    const TicketAge age = m_clocks.evaluate(m_now, key.ticket);
    HomeEntry *entry = find(text);
    if (entry == nullptr) {
        if (age == TicketAge::PastRetention) {
            return KeyOutcome{OutcomeKind::Unknown, 0, {}};
        }
        // An expired ticket and a stopping home admit no key, so no entry is needed to keep it from running.
        if (age == TicketAge::Valid && !m_stopping && !m_closedWhileFull.contains(text)) {
            closeAbsent(key, text);
        }
        return KeyOutcome{OutcomeKind::NotRun, 0, {}};
    }
    if (entry->state == KeyState::Idle) {
        HomeStep unsent; // the next tick sends the update again
        close(*entry, KeyRefusal::Closed, unsent);
    }
    return entry->outcome();
}

std::size_t HomeKeys::size() const
{
    return m_table.size();
}

std::size_t HomeKeys::storedBytes() const
{
    return m_storedBytes;
}

void HomeKeys::setState(HomeEntry &entry, KeyState state)
{
    m_unfinished -= unfinished(entry.state) ? 1 : 0;
    m_unfinished += unfinished(state) ? 1 : 0;
    entry.state = state;
}

void HomeKeys::close(HomeEntry &entry, KeyRefusal reason, HomeStep &step)
{
    setState(entry, KeyState::Closed);
    entry.closeReason = reason;
    sendUpdate(entry, step);
}

void HomeKeys::storeAnswer(HomeEntry &entry, StoredAnswer answer)
{
    const std::size_t bytes = answer.body.size();
    if (bytes > m_limits.maximumAnswerBytes || m_storedBytes + bytes > m_limits.maximumStoredBytes) {
        answer.body.clear();
        answer.body.shrink_to_fit();
        answer.bodyComplete = false;
    }
    if (answer.contentType.size() > maximumContentTypeBytes) {
        answer.contentType.clear();
    }
    entry.answer = std::move(answer);
    m_storedBytes += entry.answer.body.size();
}

} // namespace jackdawdoor::idempotency
