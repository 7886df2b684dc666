/** Request received by an evhttp server, and its answer until it has been handed to libevent.
 *
 * evhttp reports a closed connection through the connection and not through the request, and keeps its read timeout
 * running while an answer is written. This class hides both: it reports when the caller has disconnected, and an answer
 * may take longer than the read timeout as long as the caller keeps reading.
 */
#pragma once

#include "base/time.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

struct evhttp_connection;
struct evhttp_request;
struct bufferevent;

namespace jackdawdoor::net {

/** Limits of an evhttp server; libevent has none by default. */
struct ServerLimits {
    std::size_t maximumHeaderBytes = std::size_t{32} * 1024;
    std::size_t maximumBodyBytes = std::size_t{32} * 1024 * 1024;
    Duration readTimeout = std::chrono::seconds{30}; ///< between two reads of a request, and idle between requests
    Duration writeTimeout = std::chrono::seconds{30}; ///< without progress while an answer is written

    bool operator==(const ServerLimits &) const = default;
};

/** Request and answer on one server connection. Used on the server's thread only. */
class ServerExchange
{
public:
    using Hook = std::function<void()>;

    /** onGone is called once, from the loop and never from a method of this class, when the connection is lost before the end. */
    ServerExchange(EventLoop &loop, evhttp_request *request, const ServerLimits &limits, Hook onGone);

    /** Closes the connection if the answer has not ended. */
    ~ServerExchange();
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    /** Headers as received, duplicates included. */
    Headers receivedHeaders() const;

    /** Method, target and body; the headers without hop-by-hop ones. */
    RequestContent content() const;

    /** Sends a whole answer. */
    void reply(int status, const Headers &headers, std::string_view body);

    /** Begins an answer; without a length it uses chunked transfer encoding. */
    void start(int status, const Headers &headers, std::optional<std::uint64_t> contentLength);

    /** Sends bytes; onDrained is called when all unsent bytes have been handed to the operating system. */
    void send(std::string_view bytes, Hook onDrained);

    /** Bytes buffered in this process. */
    std::size_t unsent() const;

    /** Ends the answer. onSent gets true when the operating system has taken the last byte, false when the connection was lost before. */
    void end(std::function<void(bool sent)> onSent = {});

    /** Resets the connection so that an unfinished answer cannot be mistaken for a complete one. */
    void abort();

    /** True when the connection was lost or the answer has ended. */
    bool closed() const;

private:
    static void onClose(evhttp_connection *connection, void *exchange);
    struct Ending;
    static void onComplete(evhttp_request *request, void *ending);
    static void onCloseWhileEnding(evhttp_connection *connection, void *ending);
    static void onWritten(evhttp_connection *connection, void *exchange);
    evhttp_connection *connection() const;
    bufferevent *buffers() const;
    void watchForClose();
    void addHeaders(const Headers &headers);

    EventLoop &m_loop;
    evhttp_request *m_request;
    const ServerLimits &m_limits;
    Hook m_onGone;
    Hook m_onDrained;
    bool m_closed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
