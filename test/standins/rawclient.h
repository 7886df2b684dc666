/** Blocking TCP client for tests that send or receive bytes in ways that HTTP clients do not support. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdawdoor::standins {

/** One connection. Every read has a timeout, so that a test cannot hang. */
class RawClient
{
public:
    /** How the last read ended. */
    enum class End {
        Open, ///< the connection is open; no more bytes arrived within the timeout
        Closed, ///< orderly close
        Reset,
    };

    /** Throws std::runtime_error when the connection is refused or not opened in time. receiveBufferBytes: size of the socket's
     * receive buffer; zero for the system's default. */
    explicit RawClient(int port, int timeoutMilliseconds = 5000, const std::string &host = "127.0.0.1", int receiveBufferBytes = 0);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(std::string_view bytes) const;

    /** Reads at most count bytes; fewer when the stream ends or the timeout passes. */
    std::string receive(std::size_t count);

    /** Reads until the stream ends or the timeout passes. */
    std::string receiveAll();

    /** Reads the head and a body of its Content-Length. */
    std::string receiveAnswer();

    /** Shuts down the sending side. */
    void finishSending() const;

    /** Why the last read ended. */
    End end() const;

private:
    int m_socket;
    End m_end = End::Open;
};

/** Sends one request with "Connection: close" and returns all bytes of the answer. */
std::string exchangeRaw(int port, std::string_view request);

} // namespace jackdawdoor::standins
