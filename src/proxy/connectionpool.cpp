#include "proxy/connectionpool.h"

#include <algorithm>

namespace jackdawdoor::proxy {

namespace {

/** Idle connections per upstream and instance; 48 instances together stay far below what an upstream accepts. */
constexpr std::size_t maximumIdle = 4;

} // namespace

ConnectionPool::ConnectionPool(net::EventLoop &loop, std::string requestIdHeader)
    : m_loop(loop)
    , m_requestIdHeader(std::move(requestIdHeader))
{
}

ConnectionPool::Key ConnectionPool::keyOf(const fleet::UpstreamEntry &upstream)
{
    return {upstream.id, upstream.incarnation};
}

std::unique_ptr<OutboundConnection>
ConnectionPool::take(TimePoint now, const fleet::UpstreamEntry &upstream, Duration maximumAge, bool &isNew)
{
    auto &idle = m_idle[keyOf(upstream)];
    isNew = false;
    while (!idle.empty()) {
        std::unique_ptr<OutboundConnection> connection = std::move(idle.back());
        const Duration age = now - connection->lastAnswer();
        if (connection->reusable() && age <= maximumAge && age <= connection->idleLimit()) {
            idle.pop_back();
            return connection;
        }
        if (connection->reusable() && age <= connection->idleLimit()) {
            // Idle too long for this request but still usable; the remaining ones have been idle longer.
            idle.back() = std::move(connection);
            break;
        }
        idle.pop_back();
    }
    isNew = true;
    // The address was checked when the entry was decoded.
    return std::make_unique<OutboundConnection>(m_loop, settings::parseEndpoint(upstream.address).value(), m_requestIdHeader);
}

void ConnectionPool::put(const fleet::UpstreamEntry &upstream, std::unique_ptr<OutboundConnection> connection)
{
    auto &idle = m_idle[keyOf(upstream)];
    if (!connection->reusable() || idle.size() >= maximumIdle) {
        return;
    }
    if (m_mostIdle >= m_maximumIdle) {
        m_mostIdle = idleCount();
        if (m_mostIdle >= m_maximumIdle) {
            return;
        }
    }
    ++m_mostIdle;
    connection->setIdleHook([this, key = keyOf(upstream), raw = connection.get()] {
        auto &connections = m_idle[key];
        std::erase_if(connections, [raw](const auto &other) {
            return other.get() == raw;
        });
    });
    idle.push_back(std::move(connection));
}

void ConnectionPool::prune(TimePoint now, const std::vector<fleet::UpstreamEntry> &present)
{
    std::set<Key> known;
    for (const fleet::UpstreamEntry &upstream : present) {
        known.insert(keyOf(upstream));
    }
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const auto &connection) {
            return !connection->reusable() || now - connection->lastAnswer() > connection->idleLimit();
        });
        entry = entry->second.empty() || !known.contains(entry->first) ? m_idle.erase(entry) : std::next(entry);
    }
    m_mostIdle = idleCount();
}

void ConnectionPool::setMaximumIdle(std::size_t connections)
{
    m_maximumIdle = connections;
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[key, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

void ConnectionPool::drop(const fleet::UpstreamEntry &upstream)
{
    m_idle.erase(keyOf(upstream));
}

} // namespace jackdawdoor::proxy
