#include "net/upstreampool.h"

#include <algorithm>

namespace jackdawdoor::net {

UpstreamPool::UpstreamPool(EventLoop &loop, settings::Endpoint endpoint)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
{
}

UpstreamPool::~UpstreamPool()
{
    if (m_alive) {
        *m_alive = false;
    }
}

std::unique_ptr<UpstreamConnection> UpstreamPool::acquire(TimePoint now, Duration maximumSilence, int connectionLimit)
{
    const bool reuse = maximumSilence > Duration{} && !m_idle.empty();
    if (reuse && m_idle.back()->silence(now) <= maximumSilence && !m_idle.back()->closed()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        return connection;
    }
    // Idle connections that this attempt may not reuse are closed if they would exceed the limit.
    while (m_open >= connectionLimit && !m_idle.empty()) {
        m_idle.erase(m_idle.begin());
        --m_open;
    }
    if (m_open >= connectionLimit) {
        return nullptr;
    }
    ++m_open;
    return std::make_unique<UpstreamConnection>(m_loop, m_endpoint);
}

void UpstreamPool::release(std::unique_ptr<UpstreamConnection> connection)
{
    if (connection->closed()) {
        discard(std::move(connection));
        return;
    }
    // The hook is called from evhttp, where the connection must not be destroyed.
    connection->setIdleClosedHook([this, raw = connection.get(), alive = m_alive] {
        m_loop.post([this, raw, alive] {
            if (*alive) {
                forgetIdle(raw);
            }
        });
    });
    m_idle.push_back(std::move(connection));
}

void UpstreamPool::discard(std::unique_ptr<UpstreamConnection> connection)
{
    --m_open;
    connection.reset();
}

void UpstreamPool::forgetIdle(const UpstreamConnection *connection)
{
    const auto found = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto &candidate) {
        return candidate.get() == connection && candidate->closed();
    });
    if (found != m_idle.end()) {
        m_idle.erase(found);
        --m_open;
    }
}

void UpstreamPool::closeSilent(TimePoint now, Duration maximumSilence)
{
    const auto removed = std::erase_if(m_idle, [&](const auto &connection) {
        return connection->silence(now) > maximumSilence;
    });
    m_open -= static_cast<int>(removed);
}

int UpstreamPool::open() const
{
    return m_open;
}

std::size_t UpstreamPool::idle() const
{
    return m_idle.size();
}

} // namespace jackdawdoor::net
