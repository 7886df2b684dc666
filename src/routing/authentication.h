/** Authentication of a request by the API key of an organisation. */
#pragma once

#include "routing/organisation.h"
#include "routing/route.h"

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

/** Priority of a request: that of its organisation, or else that of the route. organisation may be nullptr. */
int effectivePriority(const Route &route, const Organisation *organisation);

} // namespace jackdawdoor::routing
