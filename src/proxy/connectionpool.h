/** Pool of idle connections to upstreams. A connection belongs to one incarnation of an upstream and is closed with it. */
#pragma once

#include "fleet/upstreamentry.h"
#include "limits/callershare.h"
#include "proxy/outboundconnection.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawdoor::proxy {

/** Keeps idle connections for reuse. Used on one loop. */
class ConnectionPool
{
public:
    ConnectionPool(net::EventLoop &loop, std::string requestIdHeader);

    /** The most recently used idle connection if it answered within maximumAge, else a new one. isNew tells which. */
    std::unique_ptr<OutboundConnection> take(TimePoint now, const fleet::UpstreamEntry &upstream, Duration maximumAge, bool &isNew);

    /** Returns a connection to the pool; it is closed unless it is reusable and the pool has room. */
    void put(const fleet::UpstreamEntry &upstream, std::unique_ptr<OutboundConnection> connection);

    /** Limits the idle connections to all upstreams together, whose descriptors are taken from those of the process. */
    void setMaximumIdle(std::size_t connections);

    /** Closes connections that have been idle too long and those of upstreams that are not present. */
    void prune(TimePoint now, const std::vector<fleet::UpstreamEntry> &present);

    /** Closes all idle connections to an upstream, after one of them failed. */
    void drop(const fleet::UpstreamEntry &upstream);

private:
    using Key = std::pair<UpstreamId, std::int64_t>;

    static Key keyOf(const fleet::UpstreamEntry &upstream);
    std::size_t idleCount() const;

    net::EventLoop &m_loop;
    std::string m_requestIdHeader;
    std::map<Key, std::vector<std::unique_ptr<OutboundConnection>>> m_idle;
    std::size_t m_maximumIdle = limits::DescriptorShares{}.idleUpstreams;
    std::size_t m_mostIdle = 0; ///< upper bound of the number of idle connections; exact after prune()
};

} // namespace jackdawdoor::proxy
