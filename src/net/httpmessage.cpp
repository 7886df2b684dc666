#include "net/httpmessage.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace jackdawdoor::net {

namespace {

constexpr std::array<std::string_view, 9> hopByHop{"connection",
                                                   "keep-alive",
                                                   "proxy-authenticate",
                                                   "proxy-authorization",
                                                   "proxy-connection",
                                                   "te",
                                                   "trailer",
                                                   "transfer-encoding",
                                                   "upgrade"};

/** ASCII lower case, independent of the locale. */
char lowered(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char character) {
        return lowered(character);
    });
    return result;
}

bool isAlphanumeric(char character)
{
    const char lower = lowered(character);
    return (lower >= 'a' && lower <= 'z') || (lower >= '0' && lower <= '9');
}

/** Characters that a URI leaves unescaped in any part. */
bool isUnreserved(char character)
{
    return isAlphanumeric(character) || std::string_view("-._~").find(character) != std::string_view::npos;
}

bool isTokenCharacter(char character)
{
    return isAlphanumeric(character) || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool hasControlCharacter(std::string_view value)
{
    return std::any_of(value.begin(), value.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = lowered(digit);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escape = text[index] == '%' && index + 2 < text.size();
        if (escape && hexDigit(text[index + 1]) >= 0 && hexDigit(text[index + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2])));
            index += 2;
        } else {
            decoded.push_back(text[index] == '+' ? ' ' : text[index]);
        }
    }
    return decoded;
}

} // namespace

std::string RequestContent::path() const
{
    return target.substr(0, target.find('?'));
}

bool equalsIgnoreCase(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](char left, char right) {
        return lowered(left) == lowered(right);
    });
}

std::vector<std::string_view> splitTrimmed(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        std::string_view part = text.substr(begin, end - begin);
        const std::size_t first = std::min(part.find_first_not_of(" \t"), part.size());
        part.remove_prefix(first);
        part = part.substr(0, part.find_last_not_of(" \t") + 1);
        parts.push_back(part);
        begin = end + 1;
    }
    return parts;
}

std::string findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (equalsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::size_t countHeaders(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalsIgnoreCase(header.name, name);
    }));
}

void setHeader(Headers &headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [name](const Header &header) {
        return equalsIgnoreCase(header.name, name);
    });
    headers.push_back({std::string(name), std::move(value)});
}

Headers withoutHopByHop(const Headers &headers)
{
    std::vector<std::string> named;
    for (const Header &header : headers) {
        if (equalsIgnoreCase(header.name, "Connection")) {
            for (const std::string_view option : splitTrimmed(header.value, ',')) {
                named.push_back(lowered(option));
            }
        }
    }
    Headers kept;
    for (const Header &header : headers) {
        const std::string lower = lowered(std::string_view(header.name));
        const bool fixed = std::find(hopByHop.begin(), hopByHop.end(), lower) != hopByHop.end();
        if (!fixed && std::find(named.begin(), named.end(), lower) == named.end()) {
            kept.push_back(header);
        }
    }
    return kept;
}

bool isAnswerStatus(int status)
{
    constexpr int first = 100;
    constexpr int switchingProtocols = 101;
    constexpr int last = 599;
    return status >= first && status <= last && status != switchingProtocols;
}

bool answerHasBody(int status)
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status >= firstFinal && status != noContent && status != notModified;
}

bool isHeaderName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHeaderValue(std::string_view text)
{
    return !text.empty() && !hasControlCharacter(text);
}

std::optional<std::string> framingFault(const Headers &headers)
{
    for (const Header &header : headers) {
        if (!isHeaderName(header.name) || hasControlCharacter(header.value)) {
            return "a header name or value has a character that is not allowed";
        }
    }
    const std::size_t lengths = countHeaders(headers, "Content-Length");
    const std::size_t encodings = countHeaders(headers, "Transfer-Encoding");
    if (lengths > 0 && encodings > 0) {
        return "both Content-Length and Transfer-Encoding are given";
    }
    if (lengths > 1 || encodings > 1) {
        return "Content-Length or Transfer-Encoding is given twice";
    }
    if (lengths == 1 && !parseNumber(findHeader(headers, "Content-Length"))) {
        return "Content-Length is not a number";
    }
    if (encodings == 1 && !equalsIgnoreCase(findHeader(headers, "Transfer-Encoding"), "chunked")) {
        return "Transfer-Encoding is not chunked";
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string encodeQueryValue(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : value) {
        if (isUnreserved(character)) {
            encoded += character;
        } else {
            const auto byte = static_cast<unsigned char>(character);
            encoded += '%';
            encoded += digits[byte / 16];
            encoded += digits[byte % 16];
        }
    }
    return encoded;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    for (const std::string_view part : splitTrimmed(target.substr(question + 1), '&')) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name) {
            return percentDecoded(part.substr(equals + 1));
        }
    }
    return {};
}

} // namespace jackdawdoor::net
