/** Authentication of a request by the API key of an organisation. */
#pragma once

#include "routing/organisation.h"
#include "routing/routetable.h"

#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::routing {

/** Result of authenticate(). */
struct Authentication {
    enum class Verdict {
        NotRequired, ///< no organisations are configured, or the route is public
        Accepted,
        Rejected,
    };

    /** Why a request was rejected. */
    enum class Rejection {
        None, ///< it was not rejected
        NoKey, ///< no Authorization header
        SeveralHeaders, ///< it is ambiguous which Authorization header counts
        Malformed, ///< another scheme than Bearer, or an empty key
        UnknownKey,
    };

    Verdict verdict = Verdict::NotRequired;
    Rejection rejection = Rejection::None;
    const Organisation *organisation = nullptr; ///< set if accepted; owned by the table

    bool operator==(const Authentication &) const = default;
};

/** Returns the name used in logs and metrics, such as "unknown-key". */
const char *rejectionName(Authentication::Rejection rejection);

/** Decides on a request of the route. authorizations: the values of all its Authorization headers. */
Authentication
authenticate(const OrganisationTable &organisations, const Route &route, const std::vector<std::string_view> &authorizations);

/** Returns the route that decides whether a request needs an API key. That is its own route, unless that one is public and an
 * upstream that resolves dot segments and escapes in the path would serve a path of a route that is not. */
const Route &authenticationRoute(const RouteTable &table, const Route &route, std::string_view host, std::string_view path);

/** Priority of a request: that of its organisation, or else that of the route. organisation may be nullptr. */
int effectivePriority(const Route &route, const Organisation *organisation);

namespace detail {

/** Path without escapes, repeated slashes, parameters of segments and dot segments, as the most lenient server reads it. */
std::string resolvedPath(std::string_view path);

} // namespace detail

} // namespace jackdawdoor::routing
