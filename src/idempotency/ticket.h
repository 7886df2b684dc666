/** Tickets: where an idempotency key may be dispatched, and until when.
 *
 * Any instance may issue a ticket. It names the home incarnation, the only one that may dispatch keys of the ticket, and
 * the witness incarnation, which must have recorded a key before its dispatch. The encoding is canonical: one ticket
 * has exactly one text, because a key text identifies work that must run once.
 *
 * Issue time and lifetime are values of the issuer's clock. No other instance compares them directly with its own
 * clock; IssuerClocks determines the expiry.
 */
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jackdawdoor::idempotency {

/** Longest identifier accepted in a ticket, in bytes; the encoding has one byte for its length. */
constexpr std::size_t maximumTicketIdBytes = 128;
/** Longest authenticator in bytes: an HMAC with SHA-256. */
constexpr std::size_t maximumAuthenticatorBytes = 32;
/** Longest lifetime of a ticket. Key tables keep entries for a lifetime, so this bounds how long memory is held. */
constexpr Duration maximumTicketLifetime = std::chrono::hours{24};
/** Issue times at or above this value are rejected, so that sums with lifetimes cannot overflow. */
constexpr std::uint64_t maximumIssueTime = std::uint64_t{1} << 62;

/** Computes the authenticator of bytes with a key shared by all instances. At most 32 bytes of the result are used. */
using TicketAuthenticator = std::function<std::string(std::string_view bytes)>;

/** Permission for a caller to create idempotency keys. */
struct Ticket {
    InstanceRef home; ///< the only incarnation that may dispatch keys of this ticket
    InstanceRef witness; ///< the incarnation that records keys before their dispatch
    ServiceId service; ///< the service for which the keys are valid; to be checked by the user of this class
    std::uint64_t issuer = 0; ///< issuerNumber() of the issuing incarnation
    std::uint64_t issueTime = 0; ///< microseconds on the issuer's clock; unique within the issuer incarnation
    Duration lifetime{}; ///< how long keys are accepted, in (0, maximumTicketLifetime]
    std::string authenticator; ///< over all other fields

    bool operator==(const Ticket &) const = default;

    /** URL-safe text (base64url without padding, characters A-Z a-z 0-9 - _). */
    std::string encode() const;

    /** Parses the text form without checking the authenticator. For messages from authenticated peers. */
    static Result<Ticket> decode(std::string_view text);

    /** Whether the authenticator equals the computed one. Compares in constant time. */
    bool authentic(const TicketAuthenticator &authenticate) const;

    /** Sets the authenticator. */
    void sign(const TicketAuthenticator &authenticate);
};

/** Number that identifies an issuing incarnation in a ticket. */
std::uint64_t issuerNumber(const InstanceRef &issuer);

} // namespace jackdawdoor::idempotency
