// Table of WitnessKeys: entries per home, with their bounds and expiry.
#include "idempotency/witnesskeys.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

bool WitnessKeys::isWitnessOf(const IdempotencyKey &key) const
{
    return key.ticket.witness == m_self;
}

bool WitnessKeys::hasCompleteHandover(const InstanceRef &home) const
{
    const auto found = m_homes.find(home);
    return found != m_homes.end() && found->second.complete;
}

std::size_t WitnessKeys::size() const
{
    return m_size;
}

std::size_t WitnessKeys::storedBytes() const
{
    return m_storedBytes;
}

WitnessKeys::HomeRecords *WitnessKeys::findOrAddHome(const InstanceRef &home)
{
    const auto found = m_homes.find(home);
    if (found != m_homes.end()) {
        return &found->second;
    }
    if (m_homes.size() >= m_limits.maximumHomes) {
        return nullptr;
    }
    return &m_homes[home];
}

WitnessKeys::Entry *WitnessKeys::findEntry(const IdempotencyKey &key, const std::string &text)
{
    const auto home = m_homes.find(key.ticket.home);
    if (home == m_homes.end()) {
        return nullptr;
    }
    const auto found = home->second.entries.find(text);
    return found == home->second.entries.end() ? nullptr : &found->second;
}

WitnessKeys::Entry *WitnessKeys::addEntry(const IdempotencyKey &key, const std::string &text, KeyOutcome outcome)
{
    HomeRecords *home = m_size < m_limits.maximumEntries ? findOrAddHome(key.ticket.home) : nullptr;
    if (home == nullptr) {
        return nullptr;
    }
    const auto added = home->entries.emplace(text, Entry{std::move(outcome)}).first;
    m_dropOrder.emplace(m_clocks.dropTime(m_now, key.ticket), PendingDrop{key.ticket.home, &added->first});
    ++m_size;
    return &added->second;
}

void WitnessKeys::merge(Entry &entry, const KeyOutcome &outcome)
{
    if (outcomePrecedence(outcome.kind) <= outcomePrecedence(entry.outcome.kind)) {
        return;
    }
    const std::uint64_t fingerprint = entry.outcome.fingerprint;
    m_storedBytes -= entry.outcome.answer.body.size();
    entry.outcome = outcome;
    if (entry.outcome.fingerprint == 0) {
        entry.outcome.fingerprint = fingerprint;
    }
    StoredAnswer &answer = entry.outcome.answer;
    if (answer.body.size() > m_limits.maximumAnswerBytes || m_storedBytes + answer.body.size() > m_limits.maximumStoredBytes) {
        answer.body = std::string();
        answer.bodyComplete = false;
    }
    m_storedBytes += answer.body.size();
}

void WitnessKeys::onTick(TimePoint now)
{
    m_now = std::max(m_now, now);
    while (!m_dropOrder.empty() && m_dropOrder.begin()->first < m_now) {
        const PendingDrop drop = m_dropOrder.begin()->second;
        m_dropOrder.erase(m_dropOrder.begin());
        HomeRecords &home = m_homes.at(drop.home);
        const auto entry = home.entries.find(*drop.key);
        m_storedBytes -= entry->second.outcome.answer.body.size();
        home.entries.erase(entry);
        --m_size;
    }
    for (auto home = m_homes.begin(); home != m_homes.end();) {
        const bool unused = home->second.entries.empty() && m_now > home->second.dropAfter;
        home = unused ? m_homes.erase(home) : std::next(home);
    }
}

} // namespace jackdawdoor::idempotency
