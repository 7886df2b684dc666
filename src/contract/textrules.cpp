#include "contract/textrules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace jackdawdoor::contract {

namespace {

constexpr std::size_t maximumNameBytes = 63; // as in DNS labels
constexpr std::size_t maximumContentTypeBytes = 100;
constexpr std::size_t maximumPathBytes = 200;

bool isAlphanumeric(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
}

bool isNameCharacter(char byte)
{
    return isAlphanumeric(byte) || byte == '-' || byte == '_' || byte == '.';
}

bool isTokenCharacter(char byte)
{
    return isAlphanumeric(byte) || std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

bool isPathCharacter(char byte)
{
    return byte > ' ' && byte < 0x7f && std::string_view("%?#\"<>\\^`{|}").find(byte) == std::string_view::npos;
}

// A decimal number without sign or leading zeros.
bool isNumberUpTo(std::string_view digits, int maximum)
{
    int number = 0;
    const auto [rest, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool whole = failure == std::errc{} && rest == digits.data() + digits.size();
    const bool canonical = !digits.empty() && digits.front() != '-' && (digits.size() == 1 || digits.front() != '0');
    return whole && canonical && number <= maximum;
}

// Removes and returns the text before the separator; the whole text when there is none.
std::string_view takeUntil(std::string_view &text, char separator)
{
    const auto position = text.find(separator);
    const auto part = text.substr(0, position);
    text.remove_prefix(position == std::string_view::npos ? text.size() : position + 1);
    return part;
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameBytes && isAlphanumeric(text.front())
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isHeaderName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameBytes && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isContentType(std::string_view text)
{
    return !text.empty() && text.size() <= maximumContentTypeBytes && std::all_of(text.begin(), text.end(), [](char byte) {
        return byte >= ' ' && byte < 0x7f;
    });
}

bool isMethod(std::string_view text)
{
    constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), text) != methods.end();
}

bool isPathPrefix(std::string_view text)
{
    if (text.empty() || text.size() > maximumPathBytes || text.front() != '/') {
        return false;
    }
    if (!std::all_of(text.begin(), text.end(), isPathCharacter)) {
        return false;
    }
    std::string_view rest = text.substr(1);
    while (!rest.empty()) {
        const auto segment = takeUntil(rest, '/');
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
    }
    return true;
}

bool isAddress(std::string_view text)
{
    constexpr int octets = 4;
    constexpr int largestOctet = 255;
    constexpr int largestPort = 65535;
    if (std::count(text.begin(), text.end(), ':') != 1 || std::count(text.begin(), text.end(), '.') != octets - 1) {
        return false;
    }
    std::string_view port = text;
    std::string_view host = takeUntil(port, ':');
    for (int octet = 0; octet < octets; ++octet) {
        if (!isNumberUpTo(takeUntil(host, '.'), largestOctet)) {
            return false;
        }
    }
    return isNumberUpTo(port, largestPort) && port != "0";
}

} // namespace jackdawdoor::contract
