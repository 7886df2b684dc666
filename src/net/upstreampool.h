/** Connections to one upstream. */
#pragma once

#include "net/eventloop.h"
#include "net/upstreamconnection.h"
#include "settings/settings.h"

#include <memory>
#include <vector>

namespace jackdawdoor::net {

/** Pool for one address. It keeps idle connections and counts the open ones; attempts own the connections they use. */
class UpstreamPool
{
public:
    UpstreamPool(EventLoop &loop, settings::Endpoint endpoint);
    ~UpstreamPool();
    UpstreamPool(UpstreamPool &&) = default;
    UpstreamPool &operator=(UpstreamPool &&) = delete;

    /** A connection that answered within maximumSilence, or a new one; nullptr when the limit is reached by busy ones. */
    std::unique_ptr<UpstreamConnection> acquire(TimePoint now, Duration maximumSilence, int connectionLimit);

    /** Takes back a connection whose answer was complete. */
    void release(std::unique_ptr<UpstreamConnection> connection);

    /** Closes a connection that must not be used again. */
    void discard(std::unique_ptr<UpstreamConnection> connection);

    /** Closes idle connections that were silent for longer. */
    void closeSilent(TimePoint now, Duration maximumSilence);

    int open() const;
    std::size_t idle() const;

private:
    void forgetIdle(const UpstreamConnection *connection);

    EventLoop &m_loop;
    settings::Endpoint m_endpoint;
    std::vector<std::unique_ptr<UpstreamConnection>> m_idle; ///< the one used last is at the end
    int m_open = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
