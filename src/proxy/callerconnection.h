/** One caller's connection: reads requests one after the other and writes their answers.
 *
 * Requests that arrive while one is being answered wait in the input buffer. The connection tells at once when the
 * caller has gone.
 */
#pragma once

#include "net/eventloop.h"
#include "proxy/messageparser.h"
#include "routing/route.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace jackdawdoor::proxy {

/** A complete request from a caller. */
struct CallerRequest {
    MessageHead head;
    std::string body;
    TimePoint received{}; ///< when its first byte was read
};

class CallerConnection;

/** What the owner of the connections is told. */
struct CallerHooks {
    std::function<void(CallerConnection &, CallerRequest &&)> onRequest;
    std::function<void(CallerConnection &)> onGone; ///< the caller closed; a request in progress is over
    std::function<void(CallerConnection &)> onEnd; ///< to be destroyed; called from the loop
    std::function<void(CallerConnection &, int status, const char *reason)> onRejected; ///< malformed or too large
};

/** Connection accepted from a caller. */
class CallerConnection
{
public:
    CallerConnection(net::EventLoop &loop, int socket, const routing::CallerLimits &limits, const CallerHooks &hooks);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Sends a complete answer. */
    void reply(int status, const net::Headers &headers, std::string_view body);

    /** Begins an answer whose body follows in pieces; without a length it is chunked. */
    void start(int status, const net::Headers &headers, std::optional<std::uint64_t> length);

    void sendBody(std::string_view bytes);

    /** Ends an answer that was begun. */
    void finish();

    /** Ends the connection so that an unfinished answer cannot be taken for a complete one. */
    void abort();

    /** Bytes that wait for the caller to read. */
    std::size_t unsent() const;

    /** The next answer says that the connection closes after it; an idle connection is closed now. */
    void beginClose(bool closeIdle);

    /** True between a request and the end of its answer. */
    bool busy() const;

    /** True when nothing of a request has been read and every answer has been sent. */
    bool idle() const;

private:
    static void onRead(bufferevent *socket, void *self);
    static void onWritten(bufferevent *socket, void *self);
    static void onEvent(bufferevent *socket, short what, void *self);
    void readInput();
    void handleHead(MessageHead &&head);
    void handleBody(std::string_view bytes);
    void handleComplete();
    void reject(int status, const char *reason);
    void answerEnded();
    void scheduleEnd();
    void armIdleTimer();

    net::EventLoop &m_loop;
    routing::CallerLimits m_limits;
    const CallerHooks &m_hooks;
    MessageParser m_parser;
    net::Timer m_timer; ///< header timeout, or idle timeout between requests
    bufferevent *m_socket;
    CallerRequest m_request;
    bool m_busy = false;
    bool m_chunked = false;
    bool m_closeAfterAnswer = false;
    bool m_closing = false; ///< no further request is read
    bool m_ended = false;
    bool m_tooLarge = false; ///< the body is longer than allowed
    bool m_headTooLarge = false;
    bool m_noBody = false; ///< the answer to HEAD has none
    bool m_http10 = false;
    bool m_receiving = false; ///< a part of a request has been read
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** Reason phrase of a status. */
const char *reasonPhrase(int status);

} // namespace jackdawdoor::proxy
