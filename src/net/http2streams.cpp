/** Streams of an Http2Connection: requests, answers and their sources. */
#include "net/http2callbacks.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawdoor::net {

namespace {

nghttp2_nv field(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

Http2Connection::Source Http2Connection::fixed(std::string bytes)
{
    return [bytes = std::move(bytes)]() mutable {
        return AnswerPipe::Chunk{std::exchange(bytes, {}), AnswerPipe::State::Complete};
    };
}

std::int32_t Http2Connection::request(const std::string &path, Source body)
{
    const std::array<nghttp2_nv, 4> fields{
        field(":method", "POST"), field(":scheme", "http"), field(":authority", "peer"), field(":path", path)};
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::source;
    const std::int32_t stream = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (stream >= 0) {
        m_sending[stream].source = std::move(body);
        flush();
    }
    return stream;
}

void Http2Connection::respond(std::int32_t stream, int status, Source body)
{
    const std::string text = std::to_string(status);
    const nghttp2_nv statusField = field(":status", text);
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::source;
    m_sending[stream].source = std::move(body);
    if (nghttp2_submit_response(m_session, stream, &statusField, 1, &provider) != 0) {
        m_sending.erase(stream);
    }
    flush();
}

std::int64_t Http2Connection::readSource(std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags)
{
    const auto found = m_sending.find(stream);
    if (found == m_sending.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Sending &sending = found->second;
    if (sending.position == sending.bytes.size() && sending.state == AnswerPipe::State::Open) {
        AnswerPipe::Chunk taken = sending.source();
        sending.bytes = std::move(taken.bytes);
        sending.state = taken.state;
        sending.position = 0;
    }
    const std::size_t count = std::min(length, sending.bytes.size() - sending.position);
    std::copy_n(sending.bytes.data() + sending.position, count, buffer);
    sending.position += count;
    const bool empty = sending.position == sending.bytes.size();
    if (empty && sending.state == AnswerPipe::State::Complete) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
        // A broken source resets the stream, so that the receiver cannot mistake a truncated body for a complete one.
        return sending.state == AnswerPipe::State::Open ? NGHTTP2_ERR_DEFERRED : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return static_cast<std::int64_t>(count);
}

void Http2Connection::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(m_session, stream);
    flush();
}

void Http2Connection::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(m_session, stream, bytes);
    flush();
}

void Http2Connection::cancel(std::int32_t stream)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

void Http2Connection::ping()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

} // namespace jackdawdoor::net
