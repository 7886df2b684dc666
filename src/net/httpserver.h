/** evhttp server with size and time limits; its requests become ServerExchange objects. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "net/serverexchange.h"
#include "settings/settings.h"

#include <functional>
#include <memory>

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

    /** Binds the listener; the result has the bound port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    const ServerLimits &limits() const;

private:
    static void onRequest(evhttp_request *request, void *server);

    ServerLimits m_limits;
    Handler m_handler;
    evhttp *m_server;
};

} // namespace jackdawdoor::net
