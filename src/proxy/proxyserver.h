/** Accepts callers' connections and runs their requests. */
#pragma once

#include "base/error.h"
#include "net/listener.h"
#include "proxy/exchange.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::proxy {

/** Owns the callers' connections and the requests in progress. Used on one loop. */
class ProxyServer
{
public:
    explicit ProxyServer(RequestContext &context);
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /** Listens and returns the bound endpoint with its actual port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    /** Periodic work; to be called about every 100 ms. */
    void tick(TimePoint now);

    /** Makes each connection close after its next answer. */
    void beginStop();

    /** Stops accepting connections and closes the idle ones. */
    void closeIdle();

    /** Gives each request in progress its final answer now. */
    void endRequests();

    /** Number of requests in progress. */
    std::size_t requests() const;

    /** Number of connections whose answers have not been delivered, or whose callers are given time to read the last one. */
    std::size_t undeliveredAnswers() const;

    /** Number of callers' connections. */
    std::size_t connections() const;

private:
    void accept(int socket);
    void handleRequest(CallerConnection &connection, CallerRequest &&request);
    void drop(CallerConnection &connection);
    bool makeRoom();
    void checkConnections(TimePoint now);
    void readWaiting(TimePoint now);
    void relieve(TimePoint now, std::size_t wanted);
    void returnMemory(TimePoint now);
    void logLimits(TimePoint now);

    RequestContext &m_context;
    CallerHooks m_hooks;
    CallerConnections m_connections;
    std::map<const CallerConnection *, std::unique_ptr<Exchange>> m_exchanges;
    net::Listener m_listener;
    limits::MemoryReservation m_input; ///< unread input of all connections
    std::size_t m_mostMemory = 0; ///< since memory was last returned to the system
    TimePoint m_nextReturn{};
    TimePoint m_nextLimitLog{};
    std::map<std::string, int> m_limited; ///< ended because of a limit since the last log line, by reason
    bool m_stopping = false;
};

} // namespace jackdawdoor::proxy
