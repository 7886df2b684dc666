// The table of WitnessKeys: marks of homes, their bounds and expiry.
#include "idempotency/witnesskeys.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

bool WitnessKeys::keyIsMine(const IdempotencyKey &key) const
{
    return key.ticket.witness == m_self;
}

bool WitnessKeys::answersFor(const InstanceRef &home) const
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

WitnessKeys::HomeRecords *WitnessKeys::records(const InstanceRef &home)
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

WitnessKeys::Mark *WitnessKeys::findMark(const IdempotencyKey &key, const std::string &text)
{
    const auto home = m_homes.find(key.ticket.home);
    if (home == m_homes.end()) {
        return nullptr;
    }
    const auto found = home->second.marks.find(text);
    return found == home->second.marks.end() ? nullptr : &found->second;
}

WitnessKeys::Mark *WitnessKeys::addMark(const IdempotencyKey &key, const std::string &text, KeyOutcome outcome)
{
    HomeRecords *home = m_size < m_limits.maximumEntries ? records(key.ticket.home) : nullptr;
    if (home == nullptr) {
        return nullptr;
    }
    const auto added = home->marks.emplace(text, Mark{std::move(outcome)}).first;
    m_dropOrder.emplace(m_clocks.dropTime(m_now, key.ticket), Drop{key.ticket.home, &added->first});
    ++m_size;
    return &added->second;
}

void WitnessKeys::merge(Mark &mark, const KeyOutcome &outcome)
{
    if (finality(outcome.kind) <= finality(mark.outcome.kind)) {
        return;
    }
    const std::uint64_t fingerprint = mark.outcome.fingerprint;
    m_storedBytes -= mark.outcome.answer.body.size();
    mark.outcome = outcome;
    if (mark.outcome.fingerprint == 0) {
        mark.outcome.fingerprint = fingerprint;
    }
    StoredAnswer &answer = mark.outcome.answer;
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
        const Drop drop = m_dropOrder.begin()->second;
        m_dropOrder.erase(m_dropOrder.begin());
        HomeRecords &home = m_homes.at(drop.home);
        const auto mark = home.marks.find(*drop.key);
        m_storedBytes -= mark->second.outcome.answer.body.size();
        home.marks.erase(mark);
        --m_size;
    }
    for (auto home = m_homes.begin(); home != m_homes.end();) {
        const bool unused = home->second.marks.empty() && m_now > home->second.dropAfter;
        home = unused ? m_homes.erase(home) : std::next(home);
    }
}

} // namespace jackdawdoor::idempotency
