#include "net/peerwire.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::net {

namespace {

using nlohmann::json;

constexpr std::size_t lengthBytes = 4;

json binary(std::string_view bytes)
{
    return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string fromBinary(const json &value)
{
    const auto &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::string encode(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

// Header values may contain any bytes, so they are encoded as byte strings and not as UTF-8 text.
json fromHeaders(const Headers &headers)
{
    json list = json::array();
    for (const Header &header : headers) {
        list.push_back(json::array({binary(header.name), binary(header.value)}));
    }
    return list;
}

Headers toHeaders(const json &list)
{
    Headers headers;
    for (const json &entry : list) {
        headers.push_back({fromBinary(entry.at(0)), fromBinary(entry.at(1))});
    }
    return headers;
}

/** Runs a decoder; returns std::nullopt for any unexpected structure or type. */
template <typename Decoder>
auto decoded(std::string_view bytes, Decoder decoder) -> std::optional<decltype(decoder(json{}))>
{
    try {
        return decoder(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encodeGreeting(const Greeting &greeting)
{
    return encode(
        json::array({binary(greeting.instance.id.value), greeting.instance.incarnation, binary(greeting.nonce), binary(greeting.proof)}));
}

std::optional<Greeting> decodeGreeting(std::string_view bytes)
{
    return decoded(bytes, [](const json &value) {
        return Greeting{
            {InstanceId{fromBinary(value.at(0))}, value.at(1).get<Incarnation>()}, fromBinary(value.at(2)), fromBinary(value.at(3))};
    });
}

std::string encodeRequest(const RequestContent &request)
{
    return encode(json::array({binary(request.method), binary(request.target), fromHeaders(request.headers), binary(request.body)}));
}

std::optional<RequestContent> decodeRequest(std::string_view bytes)
{
    return decoded(bytes, [](const json &value) {
        return RequestContent{fromBinary(value.at(0)), fromBinary(value.at(1)), toHeaders(value.at(2)), fromBinary(value.at(3))};
    });
}

std::string encodeAnswerStart(const AnswerStart &start)
{
    const json length = start.contentLength ? json(*start.contentLength) : json(nullptr);
    const std::string head = encode(json::array({start.status, length, fromHeaders(start.headers)}));
    std::string bytes;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        bytes.push_back(static_cast<char>((head.size() >> (8 * (lengthBytes - 1 - index))) & 0xff));
    }
    return bytes + head;
}

AnswerStartReader::AnswerStartReader(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

AnswerStartReader::State AnswerStartReader::read(std::string_view bytes)
{
    m_bytes.append(bytes);
    if (m_bytes.size() < lengthBytes) {
        return State::Reading;
    }
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length = length * 256 + static_cast<unsigned char>(m_bytes[index]);
    }
    if (length > m_maximumBytes) {
        return State::Malformed;
    }
    if (m_bytes.size() < lengthBytes + length) {
        return State::Reading;
    }
    const auto start = decoded(std::string_view(m_bytes).substr(lengthBytes, length), [](const json &value) {
        AnswerStart result{value.at(0).get<int>(), toHeaders(value.at(2)), std::nullopt};
        if (!value.at(1).is_null()) {
            result.contentLength = value.at(1).get<std::uint64_t>();
        }
        return result;
    });
    if (!start) {
        return State::Malformed;
    }
    m_start = *start;
    m_bytes.erase(0, lengthBytes + length);
    return State::Complete;
}

const AnswerStart &AnswerStartReader::start() const
{
    return m_start;
}

const std::string &AnswerStartReader::rest() const
{
    return m_bytes;
}

} // namespace jackdawdoor::net
