/** Serves callers: accepts their connections and runs their requests. */
#pragma once

#include "base/error.h"
#include "proxy/exchange.h"
#include "settings/settings.h"

#include <map>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace jackdawdoor::proxy {

/** Owner of the callers' connections and of the requests in progress. Used on one loop. */
class ProxyServer
{
public:
    explicit ProxyServer(RequestContext &context);
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /** Listens; the result is the bound endpoint with its real port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    /** Regular work; call it every 100 ms or so. */
    void tick(TimePoint now);

    /** Each connection closes with its next answer. */
    void beginStop();

    /** Accepts no further connections, and closes those that are idle. */
    void closeIdle();

    /** Gives each request in progress its final answer. */
    void endRequests();

    /** Requests in progress. */
    std::size_t requests() const;

    /** Connections whose last answer has not left yet. */
    std::size_t unsentAnswers() const;

    /** Connections of callers. */
    std::size_t connections() const;

private:
    static void onAccept(evconnlistener *listener, int socket, sockaddr *address, int length, void *self);
    void handleRequest(CallerConnection &connection, CallerRequest &&request);
    void drop(CallerConnection &connection);

    RequestContext &m_context;
    CallerHooks m_hooks;
    std::map<const CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    std::map<const CallerConnection *, std::unique_ptr<Exchange>> m_exchanges;
    evconnlistener *m_listener = nullptr;
    bool m_stopping = false;
};

} // namespace jackdawdoor::proxy
