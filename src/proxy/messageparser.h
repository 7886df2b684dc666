/** Incremental HTTP/1.1 parser for requests or answers, on top of http-parser.
 *
 * evhttp is not used here: it delivers a request only when it is complete, and reads no answer before the whole request is
 * sent, so early and surplus answers cannot be detected. This parser leaves socket handling to its owner.
 */
#pragma once

#include "net/httpmessage.h"
#include "proxy/answerheadsyntax.h"

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
    bool keepAlive = true; ///< the connection may be reused
    bool http10 = false; ///< the peer speaks HTTP/1.0, which has no chunked bodies

    bool operator==(const MessageHead &) const = default;
};

/** Parses consecutive messages of one connection. */
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

    /** Parses up to the end of the bytes or of the message, whichever comes first. Returns the number of bytes consumed;
     * failed() tells whether they were malformed. The hooks must not destroy the parser. */
    std::size_t feed(std::string_view bytes);

    /** The peer closed its side (EOF). True when that completes an answer delimited by the close. */
    bool finish();

    /** The next answer belongs to a HEAD request and has no body. */
    void expectNoBody(bool noBody);

    bool failed() const;

    /** True while a message is partially received. */
    bool inMessage() const;

    /** Bytes of the current head received so far. */
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
    AnswerHeadSyntax m_answerSyntax;
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
