/** Incremental HTTP/1.1 parser for requests or answers, on top of http-parser.
 *
 * evhttp hands out a request only when it is complete and reads no answer before it has sent the whole request, so an
 * early answer or an extra one cannot be told apart with it. This parser leaves the socket to its owner.
 */
#pragma once

#include "net/httpmessage.h"

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** Request line or status line with the headers. */
struct MessageHead {
    std::string method; ///< of a request
    std::string target; ///< of a request: path with query, as received
    int status = 0; ///< of an answer
    net::Headers headers; ///< as received
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = true; ///< the connection may carry another message
    bool http10 = false; ///< the other side does not know chunked bodies

    bool operator==(const MessageHead &) const = default;
};

/** Parses one message after the other. */
class MessageParser
{
public:
    enum class Kind {
        Request,
        Answer,
    };

    struct Hooks {
        std::function<void(MessageHead &&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onComplete;
    };

    MessageParser(Kind kind, Hooks hooks);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** Parses up to the end of the bytes or of the message, whichever comes first. Returns the bytes used; failed() tells
     * whether they were malformed. The hooks must not destroy the parser. */
    std::size_t feed(std::string_view bytes);

    /** The other side has ended its bytes in order. True when that completes an answer without a length. */
    bool finish();

    /** The next answer belongs to a HEAD request and has no body. */
    void expectNoBody(bool noBody);

    bool failed() const;

    /** Reason of the failure. */
    std::string reason() const;

    /** Bytes of a message have arrived and its end has not. */
    bool inMessage() const;

    /** Bytes of the present head so far. */
    std::size_t headBytes() const;

private:
    void reset();
    static int onMessageBegin(http_parser *parser);
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    Kind m_kind;
    Hooks m_hooks;
    http_parser m_parser{};
    MessageHead m_head;
    std::size_t m_headBytes = 0;
    bool m_lastWasValue = true;
    bool m_headComplete = false;
    bool m_inMessage = false;
    bool m_complete = false;
    bool m_failed = false;
    bool m_noBody = false;
};

} // namespace jackdawdoor::proxy
