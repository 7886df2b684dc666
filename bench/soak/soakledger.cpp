#include "soak/soakledger.h"

#include <sstream>

namespace jackdawdoor::soak {

namespace {

bool statusMeansNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void SoakLedger::send(const std::string &id, const SoakSender &sender)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].sender = sender;
}

std::optional<SoakSender> SoakLedger::sender(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() ? std::nullopt : entry->second.sender;
}

void SoakLedger::run(const std::string &id, bool answered)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[id];
    ++entry.runs;
    entry.answered = entry.answered || answered;
}

void SoakLedger::answer(const std::string &id, bool idempotent, int status)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].idempotent = idempotent;
    m_entries[id].status = status;
}

void SoakLedger::cut(const std::string &id, bool idempotent, bool planned)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].idempotent = idempotent;
    m_entries[id].cutByStop = planned;
}

void SoakLedger::violate(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(text);
}

std::string SoakLedger::summary()
{
    const std::lock_guard lock(m_mutex);
    std::map<int, int> byStatus;
    for (const auto &[id, entry] : m_entries) {
        ++byStatus[entry.status];
    }
    std::ostringstream text;
    text << m_entries.size() << " requests (";
    for (const auto &[status, count] : byStatus) {
        text << (status == 0 ? "cut" : std::to_string(status)) << ": " << count << " ";
    }
    text << ")";
    return text.str();
}

std::vector<std::string> SoakLedger::violations()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> all = m_violations;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.idempotent && entry.runs > 1) {
            all.push_back("TWICE: " + id + " ran " + std::to_string(entry.runs) + " times");
        }
        if (!entry.idempotent && statusMeansNotRun(entry.status) && entry.runs > 0) {
            all.push_back("REFUSED: " + id + " was answered " + std::to_string(entry.status) + " and ran");
        }
        if (entry.cutByStop && entry.answered) {
            all.push_back("LOST: " + id + " was answered by its upstream and cut by a planned stop");
        }
    }
    return all;
}

} // namespace jackdawdoor::soak
