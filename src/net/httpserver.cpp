#include "net/httpserver.h"

#include "net/socketaddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

namespace jackdawdoor::net {

HttpServer::HttpServer(EventLoop &loop, ServerLimits limits, Handler handler)
    : m_limits(limits)
    , m_handler(std::move(handler))
    , m_server(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(m_server, static_cast<ev_ssize_t>(limits.maximumHeaderBytes));
    evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(limits.maximumBodyBytes));
    timeval timeout{};
    timeout.tv_sec = limits.readTimeout.count() / std::micro::den;
    timeout.tv_usec = limits.readTimeout.count() % std::micro::den;
    evhttp_set_timeout_tv(m_server, &timeout);
    // Otherwise evhttp adds its own Content-Type to answers that have none.
    evhttp_set_default_content_type(m_server, nullptr);
    evhttp_set_allowed_methods(m_server,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
                                   | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(m_server, &HttpServer::onRequest, this);
}

HttpServer::~HttpServer()
{
    m_connections->listener = nullptr;
    evhttp_free(m_server);
}

Result<settings::Endpoint> HttpServer::listen(const settings::Endpoint &endpoint)
{
    evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(m_server, endpoint.host.c_str(), static_cast<ev_uint16_t>(endpoint.port));
    if (bound == nullptr) {
        return Error{"listen", endpoint.text(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    }
    m_connections->listener = evhttp_bound_socket_get_listener(bound);
    return settings::Endpoint{endpoint.host, boundPort(evhttp_bound_socket_get_fd(bound))};
}

void HttpServer::limitConnections(std::size_t connections)
{
    m_connections->maximum = connections;
    evhttp_set_bevcb(m_server, &HttpServer::onAccept, this);
}

bufferevent *HttpServer::onAccept(event_base *base, void *server)
{
    const std::shared_ptr<Connections> &connections = static_cast<HttpServer *>(server)->m_connections;
    if (++connections->open >= connections->maximum && connections->listener != nullptr) {
        evconnlistener_disable(connections->listener);
    }
    // evhttp tells only of connections with a complete request. A filter that changes nothing tells when it is freed.
    bufferevent *socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    return bufferevent_filter_new(
        socket, nullptr, nullptr, BEV_OPT_CLOSE_ON_FREE, &HttpServer::onClosed, new std::shared_ptr<Connections>(connections));
}

void HttpServer::onClosed(void *connections)
{
    const std::unique_ptr<std::shared_ptr<Connections>> owned(static_cast<std::shared_ptr<Connections> *>(connections));
    Connections &counted = **owned;
    if (--counted.open < counted.maximum && counted.listener != nullptr) {
        evconnlistener_enable(counted.listener);
    }
}

const ServerLimits &HttpServer::limits() const
{
    return m_limits;
}

void HttpServer::onRequest(evhttp_request *request, void *server)
{
    static_cast<HttpServer *>(server)->m_handler(request);
}

} // namespace jackdawdoor::net
