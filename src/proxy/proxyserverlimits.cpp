// ProxyServer: limits of memory and of callers' connections.
#include "proxy/proxylog.h"
#include "proxy/proxyserver.h"

#include <malloc.h>

#include <algorithm>
#include <vector>

namespace jackdawdoor::proxy {

namespace {

/** Freed memory below this is left to the allocator, which uses it again. */
constexpr std::size_t minimumReturnedBytes = std::size_t{8} * 1024 * 1024;
constexpr Duration returnPeriod = std::chrono::seconds{1};
constexpr Duration limitLogPeriod = std::chrono::seconds{1};

} // namespace

bool ProxyServer::makeRoom()
{
    if (m_connections.size() < m_context.maximumCallers) {
        return true;
    }
    CallerConnection *replaced = connectionToReplace(net::now(), m_connections);
    const char *reason = replaced != nullptr ? "connection-replaced" : "connection-refused";
    ++m_limited[reason];
    m_context.metrics.countLimited(reason);
    if (replaced != nullptr) {
        drop(*replaced);
    }
    return replaced != nullptr;
}

void ProxyServer::checkConnections(TimePoint now)
{
    std::size_t input = 0;
    for (const auto &[key, connection] : m_connections) {
        connection->tick(now);
        input += connection->inputBytes();
    }
    m_input.resize(input);
}

void ProxyServer::readWaiting(TimePoint now)
{
    std::vector<std::pair<TimePoint, CallerConnection *>> waiting;
    for (const auto &[key, connection] : m_connections) {
        if (connection->wantedBytes() > 0) {
            waiting.emplace_back(connection->memoryHolder(0, 0).began, connection.get());
        }
    }
    std::sort(waiting.begin(), waiting.end());
    std::size_t wanted = 0;
    for (const auto &[began, connection] : waiting) {
        connection->resumeReading();
        wanted += connection->wantedBytes();
    }
    if (wanted > 0 || m_context.memory->used() > m_context.memory->limits().total) {
        relieve(now, wanted);
    }
}

void ProxyServer::relieve(TimePoint now, std::size_t wanted)
{
    const limits::MemoryAccount &account = *m_context.memory;
    const std::size_t total = account.limits().total;
    std::vector<limits::MemoryHolder> holders;
    for (const auto &[key, connection] : m_connections) {
        const auto exchange = m_exchanges.find(key);
        const bool runs = exchange != m_exchanges.end() && !exchange->second->done();
        holders.push_back(connection->memoryHolder(idOf(key), runs ? exchange->second->heldBytes() : 0));
    }
    const limits::MemoryNeed need{wanted, account.used() > total ? account.used() - total : 0};
    for (const limits::MemoryReliefStep &step : limits::relieveMemory(now, need, std::move(holders))) {
        const auto *key = reinterpret_cast<const CallerConnection *>(static_cast<std::uintptr_t>(step.id));
        const auto exchange = m_exchanges.find(key);
        if (step.relief == limits::MemoryRelief::AbortRunning && exchange != m_exchanges.end()) {
            ++m_limited[limits::memoryReliefName(step.relief)];
            m_context.metrics.countLimited(limits::memoryReliefName(step.relief));
            exchange->second->endForStop();
        } else {
            m_connections.at(key)->endForMemory(step.relief);
        }
    }
}

void ProxyServer::returnMemory(TimePoint now)
{
    const std::size_t used = m_context.memory->used();
    m_mostMemory = std::max(m_mostMemory, used);
    if (now < m_nextReturn || m_mostMemory - used < minimumReturnedBytes) {
        return;
    }
    m_nextReturn = now + returnPeriod;
    m_mostMemory = used;
    malloc_trim(0);
}

void ProxyServer::logLimits(TimePoint now)
{
    if (m_limited.empty() || now < m_nextLimitLog) {
        return;
    }
    m_nextLimitLog = now + limitLogPeriod;
    logLimited(*m_context.memory, m_connections.size(), m_context.maximumCallers, std::exchange(m_limited, {}));
}

} // namespace jackdawdoor::proxy
