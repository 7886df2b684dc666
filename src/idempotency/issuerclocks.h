/** Judges the expiry of tickets without synchronised clocks.
 *
 * A ticket carries the issuer's time, and the clocks of issuer, home and witness may differ by any amount. Home and
 * witness each keep one IssuerClocks and judge by their own clock only:
 *
 * - For each issuer incarnation the largest observed difference `offset = issueTime - now` is kept. Since a ticket is
 *   never seen before it was issued, `now + offset` is a lower bound of the issuer's clock.
 * - A ticket is expired when `now + offset > issueTime + lifetime`, and forgotten when that holds with a margin added.
 * - A key first seen at time f is dropped from a table only when `now > f + lifetime + margin`. Seeing it made
 *   `offset >= issueTime - f`, hence `now + offset > issueTime + lifetime + margin`: its ticket is forgotten. Neither
 *   `now` nor `offset` ever decreases, so it stays forgotten, and a late resend of a dropped key is never taken for a
 *   new key. This needs no assumption about clocks except that `now` does not decrease within one incarnation.
 * - A ticket is refused early only if the clocks of issuer and judge run at different rates, and then by the drift over
 *   one lifetime.
 * - A ticket of which the judge has seen neither an earlier key nor a later ticket of that issuer may be accepted
 *   later than its lifetime. This is safe: its key was never admitted here.
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

/** What a judge may conclude about a key that is absent from its table. */
enum class TicketAge {
    Valid, ///< the key may be admitted
    Expired, ///< it must not be admitted any more; it would still be in the table if it had been
    Forgotten, ///< it must not be admitted any more; it may have been in the table
};

/** Lower bounds of the issuers' clocks. */
class IssuerClocks
{
public:
    explicit IssuerClocks(Duration margin, std::size_t maximumIssuers);

    /** Learns from a ticket and judges its age. */
    TicketAge evaluate(TimePoint now, const Ticket &ticket);

    /** When a key of this ticket that is seen for the first time at `now` may be dropped (strictly after). */
    TimePoint dropTime(TimePoint now, const Ticket &ticket) const;

    /** Issuers in the table. */
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
