/** Determines the expiry of tickets without synchronised clocks.
 *
 * A ticket carries the issuer's time, and the clocks of issuer, home and witness may differ by any amount. Home and
 * witness each keep one IssuerClocks and use only their own clock:
 *
 * - For each issuer incarnation the largest observed difference `offset = issueTime - now` is kept. Since a ticket is
 *   never seen before it was issued, `now + offset` is a lower bound of the issuer's clock.
 * - A ticket is expired when `now + offset > issueTime + lifetime`, and past its retention when that holds with a margin
 *   added.
 * - A key first seen at time f is dropped from a table only when `now > f + lifetime + margin`. Seeing it made
 *   `offset >= issueTime - f`, hence `now + offset > issueTime + lifetime + margin`: its ticket is past its retention.
 *   Neither `now` nor `offset` ever decreases, so this stays true, and a late resend of a dropped key is never mistaken
 *   for a new key. The only assumption about clocks is that `now` does not decrease within one incarnation.
 * - A ticket is refused early only if the clocks of the issuer and of this instance run at different rates, and then by
 *   the drift over one lifetime.
 * - A ticket may be accepted after its lifetime if this instance has seen neither an earlier key of it nor a later
 *   ticket of its issuer. This is safe: its key was never admitted here.
 *
 * The number of issuers is bounded. When one is evicted, the largest evicted offset applies to all issuers that are
 * not in the table, which can only make tickets expire earlier. Issue times follow the wall clock (TicketIssuer), so
 * they expire earlier by the clock skew at most.
 */
#pragma once

#include "idempotency/ticket.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace jackdawdoor::idempotency {

/** Age of a ticket, and what it implies for a key that is absent from the table. */
enum class TicketAge {
    Valid, ///< the key may be admitted
    Expired, ///< the key must not be admitted, and never was: it would still be in the table
    PastRetention, ///< the key must not be admitted, and may have been admitted and dropped
};

/** Lower bounds of the issuers' clocks. */
class IssuerClocks
{
public:
    explicit IssuerClocks(Duration margin, std::size_t maximumIssuers);

    /** Updates the bound of the ticket's issuer and returns the ticket's age. */
    TicketAge evaluate(TimePoint now, const Ticket &ticket);

    /** Time strictly after which a key of this ticket, first seen at `now`, may be dropped. */
    TimePoint dropTime(TimePoint now, const Ticket &ticket) const;

    /** Number of issuers tracked. */
    std::size_t size() const;

private:
    struct Issuer {
        std::int64_t offset = 0;
        TimePoint lastSeen;
    };

    void evictOldest();

    Duration m_margin;
    std::size_t m_maximumIssuers;
    std::int64_t m_evictedOffset;
    absl::flat_hash_map<std::uint64_t, Issuer> m_issuers;
};

} // namespace jackdawdoor::idempotency
