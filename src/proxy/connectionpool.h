/** Idle connections to upstreams. Connections belong to one incarnation of an upstream and are closed with it. */
#pragma once

#include "fleet/upstreamentry.h"
#include "proxy/outboundconnection.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawdoor::proxy {

/** Keeps connections between requests. Used on one loop. */
class ConnectionPool
{
public:
    ConnectionPool(net::EventLoop &loop, std::string requestIdHeader);

    /** An idle connection that answered within the age, the most recent one; else a new one. fresh tells which. */
    std::unique_ptr<OutboundConnection> take(TimePoint now, const fleet::UpstreamEntry &upstream, Duration maximumAge, bool &isNew);

    /** Gives a connection back; it is closed unless it can be used again. */
    void put(const fleet::UpstreamEntry &upstream, std::unique_ptr<OutboundConnection> connection);

    /** Closes connections that have been idle too long and those of upstreams that have gone. */
    void prune(TimePoint now, const std::vector<fleet::UpstreamEntry> &present);

    /** Closes the idle connections to one upstream: one of them has failed. */
    void drop(const fleet::UpstreamEntry &upstream);

    /** Connections opened so far. */
    std::uint64_t opened() const;

private:
    using Key = std::pair<UpstreamId, std::int64_t>;

    static Key keyOf(const fleet::UpstreamEntry &upstream);

    net::EventLoop &m_loop;
    std::string m_requestIdHeader;
    std::map<Key, std::vector<std::unique_ptr<OutboundConnection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace jackdawdoor::proxy
