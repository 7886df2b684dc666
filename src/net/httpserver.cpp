#include "net/httpserver.h"

#include "net/socketaddress.h"

#include <event2/event.h>
#include <event2/http.h>

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
    evhttp_free(m_server);
}

Result<settings::Endpoint> HttpServer::listen(const settings::Endpoint &endpoint)
{
    evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(m_server, endpoint.host.c_str(), static_cast<ev_uint16_t>(endpoint.port));
    if (bound == nullptr) {
        return Error{"listen", endpoint.text(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    }
    return settings::Endpoint{endpoint.host, boundPort(evhttp_bound_socket_get_fd(bound))};
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
