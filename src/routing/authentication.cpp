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

int effectivePriority(const Route &route, const Organisation *organisation)
{
    return organisation != nullptr ? organisation->priority.value_or(route.priority) : route.priority;
}

} // namespace jackdawdoor::routing
