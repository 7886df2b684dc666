/** Listening socket that passes accepted connections to a hook. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "settings/settings.h"

#include <functional>

struct evconnlistener;
struct sockaddr;

namespace jackdawdoor::net {

/** Accepts connections on an event loop. Used on the loop's thread only. */
class Listener
{
public:
    /** The hook owns the accepted socket. */
    using Hook = std::function<void(int socket)>;

    Listener(EventLoop &loop, Hook onAccept);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /** Binds the socket; the result has the bound port. receiveBufferBytes: of the accepted sockets; zero: that of the system. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint, int receiveBufferBytes = 0);

    /** Stops accepting connections. */
    void close();

private:
    static void onAccept(evconnlistener *listener, int socket, sockaddr *address, int length, void *self);

    EventLoop &m_loop;
    Hook m_onAccept;
    evconnlistener *m_listener = nullptr;
};

} // namespace jackdawdoor::net
