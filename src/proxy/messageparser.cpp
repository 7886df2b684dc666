#include "proxy/messageparser.h"

#include <algorithm>
#include <limits>

namespace jackdawdoor::proxy {

namespace {

MessageParser *parserOf(http_parser *parser)
{
    return static_cast<MessageParser *>(parser->data);
}

} // namespace

MessageParser::MessageParser(Kind kind, Hooks hooks)
    : m_kind(kind)
    , m_hooks(std::move(hooks))
{
    reset();
}

void MessageParser::reset()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_answerSyntax.reset();
    m_headBytes = 0;
    m_lastWasValue = true;
    m_headComplete = false;
    m_inMessage = false;
    m_complete = false;
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = &MessageParser::onMessageBegin;
        made.on_url = &MessageParser::onUrl;
        made.on_header_field = &MessageParser::onField;
        made.on_header_value = &MessageParser::onValue;
        made.on_headers_complete = &MessageParser::onHeadersComplete;
        made.on_body = &MessageParser::onBody;
        made.on_message_complete = &MessageParser::onMessageComplete;
        return made;
    }();
    return settings;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (m_failed || bytes.empty()) {
        return 0;
    }
    if (m_complete) {
        reset();
    }
    if (m_kind == Kind::Answer && !m_answerSyntax.accept(bytes)) {
        m_failed = true;
        return 0;
    }
    const std::size_t used = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (!m_headComplete) {
        m_headBytes += used;
    }
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    m_failed = (error != HPE_OK && error != HPE_PAUSED) || m_parser.upgrade != 0;
    // Called after all state is updated, since the hook may feed this parser again.
    if (m_complete && !m_failed && m_hooks.onComplete) {
        m_hooks.onComplete();
    }
    return used;
}

bool MessageParser::finish()
{
    if (m_failed || m_complete || !m_headComplete || m_kind == Kind::Request) {
        return false;
    }
    // EOF completes an answer that has neither a Content-Length nor chunks.
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (!m_complete) {
        return false;
    }
    if (m_hooks.onComplete) {
        m_hooks.onComplete();
    }
    return true;
}

void MessageParser::expectNoBody(bool noBody)
{
    m_noBody = noBody;
}

bool MessageParser::failed() const
{
    return m_failed;
}

bool MessageParser::inMessage() const
{
    return m_inMessage;
}

std::size_t MessageParser::headBytes() const
{
    return m_headBytes;
}

int MessageParser::onMessageBegin(http_parser *parser)
{
    parserOf(parser)->m_inMessage = true;
    return 0;
}

int MessageParser::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    parserOf(parser)->m_head.target.append(at, length);
    return 0;
}

int MessageParser::onField(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser *self = parserOf(parser);
    if (self->m_headComplete) {
        return 0; // trailers are dropped
    }
    if (self->m_lastWasValue) {
        self->m_head.headers.emplace_back();
        self->m_lastWasValue = false;
    }
    self->m_head.headers.back().name.append(at, length);
    return 0;
}

int MessageParser::onValue(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser *self = parserOf(parser);
    if (self->m_headComplete) {
        return 0;
    }
    self->m_lastWasValue = true;
    self->m_head.headers.back().value.append(at, length);
    return 0;
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    MessageParser *self = parserOf(parser);
    MessageHead &head = self->m_head;
    self->m_headComplete = true;
    if (self->m_kind == Kind::Request) {
        head.method = http_method_str(static_cast<http_method>(parser->method));
    } else {
        head.status = static_cast<int>(parser->status_code);
    }
    head.chunked = (parser->flags & F_CHUNKED) != 0;
    if (!head.chunked && parser->content_length != std::numeric_limits<std::uint64_t>::max()) {
        head.contentLength = parser->content_length;
    }
    // A protocol upgrade may be declined by continuing with HTTP/1.1; CONNECT may not.
    if (parser->method != HTTP_CONNECT || self->m_kind == Kind::Answer) {
        parser->upgrade = 0;
    }
    // http-parser ignores a space before the colon, so it takes "Transfer-Encoding : chunked" for framing, while a peer that
    // does not would end the message elsewhere.
    const bool validNames = std::all_of(head.headers.begin(), head.headers.end(), [](const net::Header &header) {
        return net::isHeaderName(header.name);
    });
    if (!validNames) {
        return -1;
    }
    head.keepAlive = http_should_keep_alive(parser) != 0;
    head.http10 = parser->http_major == 1 && parser->http_minor == 0;
    const bool withoutBody = self->m_kind == Kind::Answer && (self->m_noBody || !net::answerHasBody(head.status));
    self->m_hooks.onHead(std::move(head));
    return withoutBody ? 1 : 0;
}

int MessageParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    parserOf(parser)->m_hooks.onBody(std::string_view(at, length));
    return 0;
}

int MessageParser::onMessageComplete(http_parser *parser)
{
    MessageParser *self = parserOf(parser);
    self->m_complete = true;
    self->m_inMessage = false;
    // Stops here: the following bytes belong to the next message.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace jackdawdoor::proxy
