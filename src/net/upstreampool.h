/** Connection pool of one upstream. */
#pragma once

#include "net/eventloop.h"
#include "net/upstreamconnection.h"
#include "settings/settings.h"

#include <memory>
#include <vector>

namespace jackdawdoor::net {

/** Pool for one address. It owns the idle connections and counts all open ones; attempts own the connections they use. */
class UpstreamPool
{
public:
    UpstreamPool(EventLoop &loop, settings::Endpoint endpoint);
    ~UpstreamPool();
    UpstreamPool(UpstreamPool &&) = default;
    UpstreamPool &operator=(UpstreamPool &&) = delete;

    /** Returns a connection that answered within maximumSilence, or a new one; nullptr when busy connections use up the limit. */
    std::unique_ptr<UpstreamConnection> acquire(TimePoint now, Duration maximumSilence, int connectionLimit);

    /** Returns a connection to the pool after a complete answer. */
    void release(std::unique_ptr<UpstreamConnection> connection);

    /** Closes a connection that must not be reused. */
    void discard(std::unique_ptr<UpstreamConnection> connection);

    /** Closes idle connections whose last answer is older than maximumSilence. */
    void closeSilent(TimePoint now, Duration maximumSilence);

    int open() const;
    std::size_t idle() const;

private:
    void forgetIdle(const UpstreamConnection *connection);

    EventLoop &m_loop;
    settings::Endpoint m_endpoint;
    std::vector<std::unique_ptr<UpstreamConnection>> m_idle; ///< most recently used last
    int m_open = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
