/** Server side of a caller's HTTP/1.1 connection: reads requests one at a time and writes their answers.
 *
 * Pipelined requests wait in the input buffer while an earlier one is answered. A disconnect by the caller is reported
 * immediately.
 *
 * A connection is closed in steps. The kernel discards what it still holds of an answer when a connection is closed before its
 * input has been read or when input arrives afterwards. So the sending side is shut down first, and the socket is closed when the
 * caller has closed its side, or some time after it has acknowledged all bytes.
 */
#pragma once

#include "limits/callershare.h"
#include "limits/memorypressure.h"
#include "net/eventloop.h"
#include "proxy/answerdelivery.h"
#include "proxy/body.h"
#include "proxy/messageparser.h"
#include "routing/route.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace jackdawdoor::proxy {

/** Unsent answer bytes above which reading from the upstream pauses and no further pipelined request is begun, so that a slow
 * caller does not fill the memory. */
constexpr std::size_t maximumUnsentBytes = std::size_t{512} * 1024;

/** Limit of buffered input, such as pipelined requests. libevent reads no more at once, so a larger one would not be faster. */
constexpr std::size_t maximumReadAheadBytes = std::size_t{16} * 1024;

/** Complete request from a caller. */
struct CallerRequest {
    MessageHead head;
    Body body;
    TimePoint received{}; ///< when its first byte was read
};

class CallerConnection;

/** An answer of which the caller reads nothing for this long is aborted. Longer than packet loss delays an answer, and shorter
 * than callers wait for one. */
constexpr Duration maximumUnreadTime = std::chrono::seconds{15};

/** Time for a caller that has acknowledged the last answer to read it and to close; what it sends meanwhile is not processed. */
constexpr Duration lingerTime = std::chrono::seconds{2};

/** Callbacks to the owner of the connections. */
struct CallerHooks {
    std::function<void(CallerConnection &, CallerRequest &&)> onRequest;
    std::function<void(CallerConnection &)> onGone; ///< the caller disconnected during a request
    std::function<void(CallerConnection &)> onEnd; ///< the owner should destroy the connection; called from the loop
    std::function<void(CallerConnection &, int status, const char *reason)>
        onRejected; ///< refused, or with status 0: an answer was aborted or input dropped
    std::function<net::Headers(const MessageHead &)> rejectionHeaders{}; ///< further headers of the answer to a rejected request; optional
};

/** Connection accepted from a caller. */
class CallerConnection
{
public:
    /** memory: account for bodies and answers; may be null. */
    CallerConnection(net::EventLoop &loop,
                     int socket,
                     const routing::CallerLimits &limits,
                     const CallerHooks &hooks,
                     std::shared_ptr<limits::MemoryAccount> memory = nullptr);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Sends a complete answer. */
    void reply(int status, const net::Headers &headers, std::string_view body);

    /** Sends a complete answer whose body is sent by reference. */
    void reply(int status, const net::Headers &headers, const Body &body);

    /** Starts a streamed answer; chunked if the length is unknown. */
    void start(int status, const net::Headers &headers, std::optional<std::uint64_t> length);

    void sendBody(std::string_view bytes);

    /** Sends a part of the body by reference. */
    void sendBody(const Body &body);

    /** Ends a streamed answer. */
    void finish();

    /** Resets the connection, so that the caller cannot mistake a truncated answer for a complete one. */
    void abort();

    /** Bytes in the output buffer that are not yet written to the socket. */
    std::size_t unsent() const;

    /** Bytes of answers that the caller's system has not acknowledged: the output buffer and the kernel's. */
    std::size_t undelivered() const;

    /** Periodic work: notices whether the caller reads, and aborts an answer that it does not read for 15 s. */
    void tick(TimePoint now);

    /** Bytes received and not yet parsed, including those in the kernel that wait for the buffer, and of a partial head. */
    std::size_t inputBytes() const;

    /** Memory that the request needs to be read on; zero if it does not wait for memory. */
    std::size_t wantedBytes() const;

    /** Reads on if there is memory again. */
    void resumeReading();

    /** The request or answer as a holder of memory. runningBytes: memory of the request while it runs. */
    limits::MemoryHolder memoryHolder(std::uint64_t id, std::size_t runningBytes) const;

    /** What the connection does, for the choice of one to close. */
    limits::ConnectionState connectionState(TimePoint now, std::uint64_t id);

    /** Ends a request that is being received or an answer that is not read, or drops the input behind a request. */
    void endForMemory(limits::MemoryRelief relief);

    /** Announces "Connection: close" with the next answer; with closeIdle, the close of an idle connection begins now. */
    void beginClose(bool closeIdle);

    /** True if answers have not been delivered, or the caller is given time to read the last one and to close. */
    bool awaitsDelivery() const;

    /** True from a complete request to the end of its answer. */
    bool busy() const;

    /** True when no part of a request has been received and every answer has been sent. */
    bool idle() const;

private:
    /** The caller's side of the connection. */
    enum class CallerSide {
        Open,
        Closed, ///< it sends no more
        Failed, ///< reset or unreachable
    };

    static void onRead(bufferevent *socket, void *self);
    static void onWritten(bufferevent *socket, void *self);
    static void onEvent(bufferevent *socket, short what, void *self);
    void readInput();
    void discardInput();
    void handleHead(MessageHead &&head);
    void handleBody(std::string_view bytes);
    void handleComplete();
    void reject(int status, const char *reason, const net::Headers &headers = {});
    void write(std::string_view bytes);
    void write(const Body &body);
    bool mayRead(std::size_t bytes);
    void noteProgress();
    void updateDelivery(TimePoint now);
    void abortUnread(const char *reason);
    std::string replyHead(int status, const net::Headers &headers, std::size_t length) const;
    void answerEnded();
    void onTimer(TimePoint now);
    void closeIfIdle(TimePoint now);
    void beginLinger(TimePoint now);
    void continueLinger(TimePoint now);
    void closeAfterDelivery(TimePoint now);
    CallerSide callerSide() const;
    void resetOnClose();
    void scheduleEnd();
    void armIdleTimer();

    net::EventLoop &m_loop;
    routing::CallerLimits m_limits;
    const CallerHooks &m_hooks;
    MessageParser m_parser;
    net::Timer m_timer; ///< header timeout, idle timeout between requests, or next check of a connection that is closing
    bufferevent *m_socket;
    CallerRequest m_request;
    std::shared_ptr<limits::MemoryAccount> m_memory;
    limits::MemoryReservation m_output; ///< bytes of answers that were copied into the output buffer
    AnswerDelivery m_delivery;
    TimePoint m_progressed{}; ///< when a part of the body last arrived, or when the connection became idle
    std::size_t m_progressBytes = 0; ///< size of the body then
    std::optional<TimePoint> m_waitingSince; ///< not read for lack of memory
    std::size_t m_wantedBytes = 0;
    bool m_receivingBody = false;
    bool m_busy = false;
    bool m_streaming = false; ///< a part of an answer has been sent
    bool m_chunked = false;
    bool m_closeAfterAnswer = false;
    bool m_closing = false; ///< no further request is read
    bool m_lingering = false; ///< the sending side is shut down
    bool m_discarding = false; ///< input is read and dropped, so that unread bytes do not reset the connection at its close
    Duration m_unreadLimit; ///< an answer that is not read for this long is aborted
    bool m_ended = false;
    bool m_tooLarge = false; ///< the body is longer than allowed
    bool m_headTooLarge = false;
    bool m_noBody = false; ///< the request is HEAD, so its answer has no body
    bool m_http10 = false;
    bool m_receiving = false; ///< a part of a request has been read
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** Connections by their addresses. */
using CallerConnections = std::map<const CallerConnection *, std::unique_ptr<CallerConnection>>;

/** Identifies a connection in the decisions on limits. */
std::uint64_t idOf(const CallerConnection *connection);

/** Begins the close of the idle connections; the others close after their next answer. */
void closeIdleConnections(const CallerConnections &connections);

/** Number of connections that await the delivery of an answer. */
std::size_t undeliveredAnswers(const CallerConnections &connections);

/** Connection that gives way to a new one; nullptr if there is none. See limits::connectionToClose. */
CallerConnection *connectionToReplace(TimePoint now, const CallerConnections &connections);

/** Reason phrase of a status. */
const char *reasonPhrase(int status);

} // namespace jackdawdoor::proxy
