#include "net/listener.h"

#include "net/socketaddress.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <utility>

namespace jackdawdoor::net {

namespace {

/** Length of the accept queue. When it is full, SYN packets are dropped and callers wait seconds for the retransmission. */
constexpr int backlog = 1024;

} // namespace

Listener::Listener(EventLoop &loop, Hook onAccept)
    : m_loop(loop)
    , m_onAccept(std::move(onAccept))
{
}

Listener::~Listener()
{
    close();
}

Result<settings::Endpoint> Listener::listen(const settings::Endpoint &endpoint, int receiveBufferBytes)
{
    sockaddr_storage address{};
    const socklen_t length = toSocketAddress(endpoint, address);
    m_listener = evconnlistener_new_bind(m_loop.base(),
                                         &Listener::onAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                         backlog,
                                         reinterpret_cast<sockaddr *>(&address),
                                         static_cast<int>(length));
    if (m_listener == nullptr) {
        return Error{"listen", endpoint.text(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    }
    if (receiveBufferBytes > 0) {
        // Accepted sockets inherit it.
        setsockopt(evconnlistener_get_fd(m_listener), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    }
    return settings::Endpoint{endpoint.host, boundPort(evconnlistener_get_fd(m_listener))};
}

void Listener::close()
{
    if (m_listener != nullptr) {
        evconnlistener_free(std::exchange(m_listener, nullptr));
    }
}

void Listener::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/, int /*length*/, void *self)
{
    static_cast<Listener *>(self)->m_onAccept(socket);
}

} // namespace jackdawdoor::net
