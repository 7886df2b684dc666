/** Checks whether upstreams still accept connections.
 *
 * After an upstream has ended a connection in the middle of a request, other requests avoid it, so none of them would tell
 * whether its process has ended. A check opens a connection and closes it again; it sends nothing.
 */
#pragma once

#include "fleet/upstreamentry.h"
#include "net/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;

namespace jackdawdoor::proxy {

/** Runs checks, at most one in a second for each address; later ones wait. Used on one loop. */
class ConnectionChecks
{
public:
    /** Called when the upstream refused the connection or did not accept it in time. */
    using OnUnreachable = std::function<void(const fleet::UpstreamEntry &)>;

    ConnectionChecks(net::EventLoop &loop, OnUnreachable onUnreachable);
    ~ConnectionChecks();
    ConnectionChecks(const ConnectionChecks &) = delete;
    ConnectionChecks &operator=(const ConnectionChecks &) = delete;

    /** Starts a check of the upstream as it is from now on, after the interval to the previous one. */
    void start(TimePoint now, const fleet::UpstreamEntry &upstream);

    /** Forgets old checks. */
    void expire(TimePoint now);

private:
    class Check;

    net::EventLoop &m_loop;
    OnUnreachable m_onUnreachable;
    std::map<std::string, std::unique_ptr<Check>> m_checks; ///< by address
};

} // namespace jackdawdoor::proxy
