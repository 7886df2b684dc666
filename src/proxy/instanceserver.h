/** HTTP server for calls that the instance answers itself: directory, readiness, metrics and copies of the store's contents.
 *
 * Its connections have the time limits of callers' connections and a bound on their number. When it is reached, a new connection
 * takes the place of an idle one or of one whose request has stood still; otherwise the new connection is closed.
 */
#pragma once

#include "limits/memoryaccount.h"
#include "net/listener.h"
#include "proxy/callerconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace jackdawdoor::proxy {

/** Answer to a call. */
struct CallAnswer {
    int status = 200;
    net::Headers headers{};
    std::string body{};
};

/** Answers calls on one port. Used on one loop. */
class InstanceServer
{
public:
    /** target: path and query of the call. */
    using Handler = std::function<CallAnswer(const std::string &target)>;

    /** memory: account that must have room for an answer, for a server with large ones; may be null. */
    InstanceServer(net::EventLoop &loop, Handler handler, std::shared_ptr<limits::MemoryAccount> memory = nullptr);
    ~InstanceServer();
    InstanceServer(const InstanceServer &) = delete;
    InstanceServer &operator=(const InstanceServer &) = delete;

    /** Binds the listener; the result has the bound port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    void setMaximumConnections(std::size_t connections);

    /** Stops accepting connections and closes the idle ones; the others close after their next answer. */
    void closeIdle();

    /** Number of connections whose answers have not been delivered. */
    std::size_t undeliveredAnswers(TimePoint now) const;

private:
    void accept(int socket);
    void answer(CallerConnection &connection, const CallerRequest &request);
    void checkConnections();

    net::EventLoop &m_loop;
    Handler m_handler;
    std::shared_ptr<limits::MemoryAccount> m_memory;
    CallerHooks m_hooks;
    CallerConnections m_connections;
    net::Listener m_listener;
    net::Timer m_timer;
    std::size_t m_maximumConnections;
};

} // namespace jackdawdoor::proxy
