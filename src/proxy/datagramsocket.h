/** UDP socket for the messages between instances. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "settings/settings.h"

#include <cstdint>
#include <functional>
#include <string_view>

struct event;

namespace jackdawdoor::proxy {

/** Sends and receives whole datagrams. A datagram that the kernel does not accept is dropped, like one lost on the network. */
class DatagramSocket
{
public:
    using Receiver = std::function<void(std::string_view bytes, const settings::Endpoint &from)>;

    DatagramSocket(net::EventLoop &loop, Receiver receiver);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** Binds and returns the bound endpoint with its actual port. */
    Result<settings::Endpoint> bind(const settings::Endpoint &endpoint);

    void send(const settings::Endpoint &to, std::string_view bytes);

    /** Number of datagrams that the kernel did not accept. */
    std::uint64_t sendFailures() const;

private:
    static void onReadable(int socket, short what, void *self);
    void receive();

    net::EventLoop &m_loop;
    Receiver m_receiver;
    event *m_event = nullptr;
    int m_socket = -1;
    std::uint64_t m_sendFailures = 0;
};

} // namespace jackdawdoor::proxy
