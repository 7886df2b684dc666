#include "routing/authentication.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace jackdawdoor::routing {

namespace {

constexpr std::string_view whiteSpace = " \t";
constexpr std::string_view scheme = "bearer";

bool isScheme(std::string_view text)
{
    return std::equal(text.begin(), text.end(), scheme.begin(), scheme.end(), [](unsigned char letter, char expected) {
        return std::tolower(letter) == expected;
    });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whiteSpace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whiteSpace) - first + 1);
}

/** Returns the key of an Authorization header, or nothing if the header has another scheme or no key. */
std::optional<std::string_view> bearerKey(std::string_view value)
{
    const std::string_view credentials = trimmed(value);
    const std::size_t schemeEnd = credentials.find_first_of(whiteSpace);
    if (schemeEnd == std::string_view::npos || !isScheme(credentials.substr(0, schemeEnd))) {
        return std::nullopt;
    }
    return trimmed(credentials.substr(schemeEnd));
}

int hexadecimalDigit(char letter)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::size_t digit = digits.find(static_cast<char>(std::tolower(static_cast<unsigned char>(letter))));
    return digit == std::string_view::npos ? -1 : static_cast<int>(digit);
}

std::string unescaped(std::string_view text)
{
    constexpr int base = 16;
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size();
        const int high = escape ? hexadecimalDigit(text[at + 1]) : -1;
        const int low = escape ? hexadecimalDigit(text[at + 2]) : -1;
        if (high < 0 || low < 0) {
            out += text[at];
            continue;
        }
        out += static_cast<char>(high * base + low);
        at += 2;
    }
    return out;
}

/** Segments of the path between slashes or backslashes, without their parameters (";..."). */
std::vector<std::string_view> segments(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t end = path.find_first_of("/\\");
        const std::string_view part = path.substr(0, end);
        parts.push_back(part.substr(0, part.find(';')));
        if (end == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(end + 1);
    }
}

Authentication rejected(Authentication::Rejection rejection)
{
    return {Authentication::Verdict::Rejected, rejection, nullptr};
}

} // namespace

const char *rejectionName(Authentication::Rejection rejection)
{
    switch (rejection) {
    case Authentication::Rejection::None:
        return "none";
    case Authentication::Rejection::NoKey:
        return "no-key";
    case Authentication::Rejection::SeveralHeaders:
        return "several-keys";
    case Authentication::Rejection::Malformed:
        return "malformed-key";
    case Authentication::Rejection::UnknownKey:
        return "unknown-key";
    }
    return "";
}

Authentication authenticate(const OrganisationTable &organisations, const Route &route, const std::vector<std::string_view> &authorizations)
{
    if (!organisations.enabled() || route.isPublic) {
        return {};
    }
    if (authorizations.empty()) {
        return rejected(Authentication::Rejection::NoKey);
    }
    if (authorizations.size() > 1) {
        return rejected(Authentication::Rejection::SeveralHeaders);
    }
    const auto key = bearerKey(authorizations.front());
    if (!key) {
        return rejected(Authentication::Rejection::Malformed);
    }
    const Organisation *organisation = organisations.find(*key);
    if (organisation == nullptr) {
        return rejected(Authentication::Rejection::UnknownKey);
    }
    return {Authentication::Verdict::Accepted, Authentication::Rejection::None, organisation};
}

const Route &authenticationRoute(const RouteTable &table, const Route &route, std::string_view host, std::string_view path)
{
    if (!route.isPublic) {
        return route;
    }
    const Route *resolved = table.match(host, detail::resolvedPath(path));
    return resolved != nullptr && !resolved->isPublic ? *resolved : route;
}

std::string detail::resolvedPath(std::string_view path)
{
    const std::string plain = unescaped(path);
    std::vector<std::string_view> kept;
    bool directory = false; // the path ends with a slash or a dot segment
    for (const std::string_view part : segments(plain)) {
        directory = part.empty() || part == "." || part == "..";
        if (!directory) {
            kept.push_back(part);
        } else if (part == ".." && !kept.empty()) {
            kept.pop_back();
        }
    }
    std::string out;
    for (const std::string_view part : kept) {
        out += '/';
        out += part;
    }
    return directory || out.empty() ? out + "/" : out;
}

int effectivePriority(const Route &route, const Organisation *organisation)
{
    return organisation != nullptr ? organisation->priority.value_or(route.priority) : route.priority;
}

} // namespace jackdawdoor::routing
