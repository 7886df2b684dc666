// Message handling of HomeKeys: records, updates, retries, stop and handover.
#include "idempotency/homekeys.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

bool isFinal(KeyState state)
{
    return state == KeyState::Completed || state == KeyState::Unknown || state == KeyState::Closed;
}

} // namespace

HomeStep HomeKeys::onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message)
{
    advanceTime(now);
    HomeStep step;
    if (const auto *recorded = std::get_if<Recorded>(&message)) {
        onRecorded(from, *recorded, step);
    } else if (const auto *refused = std::get_if<Refused>(&message)) {
        onRefused(from, *refused, step);
    } else if (const auto *updated = std::get_if<Updated>(&message)) {
        onUpdated(from, *updated);
    } else if (const auto *query = std::get_if<Query>(&message)) {
        step.messages.push_back({from, Reply{query->key, outcomeOf(now, query->key)}});
    } else if (const auto *confirmed = std::get_if<HandoverConfirmed>(&message); confirmed != nullptr && m_handover) {
        m_handover->onConfirmed(from, *confirmed);
    }
    continueStop(step);
    return step;
}

void HomeKeys::onRecorded(const InstanceRef &from, const Recorded &message, HomeStep &step)
{
    HomeEntry *entry = find(message.key.encode());
    if (entry == nullptr || entry->state != KeyState::Pending || from != entry->key.ticket.witness) {
        return;
    }
    setState(*entry, KeyState::Ready);
    step.events.push_back({message.key.encode(), DispatchPermitted{}});
}

void HomeKeys::onRefused(const InstanceRef &from, const Refused &message, HomeStep &step)
{
    HomeEntry *entry = find(message.key.encode());
    // A later incarnation of the witness also refuses, since it cannot record for the earlier one.
    if (entry != nullptr && entry->state == KeyState::Pending && from.id == entry->key.ticket.witness.id) {
        refuseWaiting(*entry, KeyRefusal::WitnessRefused, step);
    }
}

void HomeKeys::onUpdated(const InstanceRef &from, const Updated &message)
{
    HomeEntry *entry = find(message.key.encode());
    if (entry != nullptr && isFinal(entry->state) && from == entry->key.ticket.witness) {
        entry->updatesLeft = 0;
    }
}

HomeStep HomeKeys::onTick(TimePoint now)
{
    advanceTime(now);
    HomeStep step;
    m_closedWhileFull.expire(m_now);
    retryMessages(step);
    removeExpired();
    continueStop(step);
    return step;
}

void HomeKeys::retryMessages(HomeStep &step)
{
    while (!m_retries.empty() && m_retries.begin()->first <= m_now) {
        const std::string key = std::move(m_retries.begin()->second);
        m_retries.erase(m_retries.begin());
        HomeEntry *entry = find(key);
        if (entry == nullptr) {
            continue;
        }
        if (entry->state == KeyState::Pending && m_now >= entry->recordDeadline) {
            refuseWaiting(*entry, KeyRefusal::WitnessUnreachable, step);
        } else if (entry->state == KeyState::Pending) {
            sendRecord(*entry, step);
        } else if (isFinal(entry->state) && entry->updatesLeft > 0) {
            --entry->updatesLeft;
            step.messages.push_back({entry->key.ticket.witness, OutcomeUpdate{entry->key, entry->outcome()}});
            m_retries.emplace(m_now + m_limits.retryInterval, key);
        }
    }
}

void HomeKeys::refuseWaiting(HomeEntry &entry, KeyRefusal reason, HomeStep &step)
{
    close(entry, reason, step);
    step.events.push_back({entry.key.encode(), RefuseKey{reason, Certainty::NotRun}});
}

void HomeKeys::sendRecord(HomeEntry &entry, HomeStep &step)
{
    step.messages.push_back({entry.key.ticket.witness, Record{entry.key, entry.fingerprint}});
    m_retries.emplace(std::min(m_now + m_limits.retryInterval, entry.recordDeadline), entry.key.encode());
}

void HomeKeys::sendUpdate(HomeEntry &entry, HomeStep &step)
{
    step.messages.push_back({entry.key.ticket.witness, OutcomeUpdate{entry.key, entry.outcome()}});
    entry.updatesLeft = m_limits.updateAttempts - 1;
    m_retries.emplace(m_now + m_limits.retryInterval, entry.key.encode());
}

void HomeKeys::removeExpired()
{
    while (!m_dropOrder.empty() && m_dropOrder.begin()->first < m_now) {
        const std::string *key = m_dropOrder.begin()->second;
        m_dropOrder.erase(m_dropOrder.begin());
        const auto found = m_table.find(*key);
        const KeyState state = found->second.state;
        if (!isFinal(state) && state != KeyState::Idle) {
            // Requests still wait for the result of this key.
            m_dropOrder.emplace(m_now + m_limits.expiryMargin, key);
            continue;
        }
        m_storedBytes -= found->second.answer.body.size();
        m_table.erase(found);
    }
}

HomeStep HomeKeys::beginStop(TimePoint now)
{
    advanceTime(now);
    m_stopping = true;
    HomeStep step;
    continueStop(step);
    return step;
}

StopProgress HomeKeys::stopProgress() const
{
    if (!m_stopping) {
        return StopProgress::Running;
    }
    if (!m_handover) {
        return StopProgress::Draining;
    }
    if (m_handover->complete()) {
        return StopProgress::HandedOver;
    }
    return m_handover->timedOut() ? StopProgress::HandoverTimedOut : StopProgress::HandingOver;
}

void HomeKeys::continueStop(HomeStep &step)
{
    if (!m_stopping || m_unfinished > 0) {
        return;
    }
    if (!m_handover) {
        for (auto &[key, entry] : m_table) {
            if (entry.state == KeyState::Idle) {
                close(entry, KeyRefusal::Stopping, step);
            }
        }
        m_handover.emplace(m_now, m_self, m_limits, exportTable());
    }
    for (Outgoing<IdempotencyMessage> &message : m_handover->onTick(m_now)) {
        step.messages.push_back(std::move(message));
    }
}

std::vector<HandoverEntry> HomeKeys::exportTable() const
{
    std::vector<HandoverEntry> keys;
    keys.reserve(m_table.size());
    for (const auto &[key, entry] : m_table) {
        keys.push_back({entry.key, entry.outcome()});
    }
    return keys;
}

HomeStep HomeKeys::resumeAfterPause(TimePoint now)
{
    advanceTime(now);
    HomeStep step;
    for (auto &[key, entry] : m_table) {
        if (entry.state == KeyState::Pending || entry.state == KeyState::Ready) {
            refuseWaiting(entry, KeyRefusal::Paused, step);
        }
    }
    removeExpired();
    continueStop(step);
    return step;
}

} // namespace jackdawdoor::idempotency
