/** Idempotency keys: a ticket and a nonce chosen by the caller, written "ticket.nonce". */
#pragma once

#include "idempotency/ticket.h"

namespace jackdawdoor::idempotency {

/** Longest nonce in bytes; a UUID has 36. */
constexpr std::size_t maximumNonceBytes = 64;

/** Identifies one piece of non-idempotent work. */
struct IdempotencyKey {
    Ticket ticket;
    std::string nonce; ///< 1 to maximumNonceBytes characters of A-Z a-z 0-9 - _

    bool operator==(const IdempotencyKey &) const = default;

    /** The canonical text of this key. */
    std::string encode() const;

    /** Parses the text form without checking the authenticator. For messages from authenticated peers. */
    static Result<IdempotencyKey> decode(std::string_view text);

    /** Parses a key from a caller and checks its authenticator. */
    static Result<IdempotencyKey> decodeFromCaller(std::string_view text, const TicketAuthenticator &authenticate);
};

} // namespace jackdawdoor::idempotency
