/** evhttp server with size and time limits; its requests become ServerExchange objects. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "net/serverexchange.h"
#include "settings/settings.h"

#include <cstddef>
#include <functional>
#include <memory>

struct bufferevent;
struct event_base;
struct evconnlistener;
struct evhttp;
struct evhttp_request;

namespace jackdawdoor::net {

/** Listener for HTTP requests on an event loop. Created and destroyed on the loop's thread. */
class HttpServer
{
public:
    /** Called for each complete request. */
    using Handler = std::function<void(evhttp_request *)>;

    HttpServer(EventLoop &loop, ServerLimits limits, Handler handler);
    ~HttpServer(); ///< closes all connections
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Accepts no more than so many connections at once; further ones wait in the accept queue. To be called before listen(). */
    void limitConnections(std::size_t connections);

    /** Binds the listener; the result has the bound port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    const ServerLimits &limits() const;

private:
    static void onRequest(evhttp_request *request, void *server);
    static bufferevent *onAccept(event_base *base, void *server);
    static void onClosed(void *connections);

    /** Outlives the server, since libevent frees connections later. */
    struct Connections {
        std::size_t open = 0;
        std::size_t maximum = 0; ///< zero: unlimited
        evconnlistener *listener = nullptr; ///< null after the server has ended
    };

    ServerLimits m_limits;
    Handler m_handler;
    evhttp *m_server;
    std::shared_ptr<Connections> m_connections = std::make_shared<Connections>();
};

} // namespace jackdawdoor::net
