// CallerConnection: answers and what follows them.
#include "proxy/callerconnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstdio>

namespace jackdawdoor::proxy {

namespace {

void appendHead(std::string &out, int status, const net::Headers &headers)
{
    out += "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const net::Header &header : headers) {
        out += header.name;
        out += ": ";
        out += header.value;
        out += "\r\n";
    }
}

std::string chunkHead(std::size_t size)
{
    char text[24];
    const int length = std::snprintf(text, sizeof(text), "%zx\r\n", size);
    return {text, static_cast<std::size_t>(length)};
}

} // namespace

void CallerConnection::reply(int status, const net::Headers &headers, std::string_view body)
{
    if (!m_busy || m_ended) {
        return;
    }
    std::string out = replyHead(status, headers, body.size());
    if (!m_noBody && net::answerHasBody(status)) {
        out += body;
    }
    write(out);
    answerEnded();
}

void CallerConnection::reply(int status, const net::Headers &headers, const Body &body)
{
    if (!m_busy || m_ended) {
        return;
    }
    const std::string out = replyHead(status, headers, body.size());
    write(out);
    if (!m_noBody && net::answerHasBody(status)) {
        write(body);
    }
    answerEnded();
}

std::string CallerConnection::replyHead(int status, const net::Headers &headers, std::size_t length) const
{
    std::string out;
    out.reserve(512);
    appendHead(out, status, headers);
    if (net::answerHasBody(status)) {
        out += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    out += m_closeAfterAnswer ? "Connection: close\r\n\r\n" : "\r\n";
    return out;
}

void CallerConnection::start(int status, const net::Headers &headers, std::optional<std::uint64_t> length)
{
    std::string out;
    appendHead(out, status, headers);
    m_streaming = true;
    m_chunked = !length && !m_http10;
    m_closeAfterAnswer = m_closeAfterAnswer || (!length && m_http10);
    if (length) {
        out += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (m_chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    out += m_closeAfterAnswer ? "Connection: close\r\n\r\n" : "\r\n";
    write(out);
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (m_ended || m_noBody || bytes.empty()) {
        return;
    }
    if (m_chunked) {
        const std::string head = chunkHead(bytes.size());
        write(head);
    }
    write(bytes);
    if (m_chunked) {
        write("\r\n");
    }
}

void CallerConnection::sendBody(const Body &body)
{
    if (m_ended || m_noBody || body.empty()) {
        return;
    }
    if (m_chunked) {
        write(chunkHead(body.size()));
    }
    write(body);
    if (m_chunked) {
        write("\r\n");
    }
}

void CallerConnection::finish()
{
    if (m_ended) {
        return;
    }
    if (m_chunked && !m_noBody) {
        constexpr std::string_view last = "0\r\n\r\n";
        write(last);
    }
    answerEnded();
}

void CallerConnection::answerEnded()
{
    m_busy = false;
    m_streaming = false;
    m_progressed = net::now();
    m_chunked = false;
    if (m_closeAfterAnswer) {
        m_closing = true;
        m_discarding = true; // requests behind an answer that closes the connection count as not read
        discardInput();
        m_timer.cancel();
        if (unsent() == 0) {
            beginLinger(m_progressed);
        }
        return;
    }
    armIdleTimer();
    m_loop.post([this, alive = m_alive] {
        if (*alive) {
            readInput();
        }
    });
}

} // namespace jackdawdoor::proxy
