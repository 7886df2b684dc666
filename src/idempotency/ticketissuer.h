/** Issues the tickets that are sent with placement answers.
 *
 * The issue time starts at the incarnation number, which is the wall clock in microseconds at process start, and then
 * advances with the process's own clock. It is strictly increasing, so that no two tickets are equal and the nonces of
 * two callers cannot collide.
 */
#pragma once

#include "idempotency/ticket.h"

namespace jackdawdoor::idempotency {

/** Ticket issuer of one incarnation. */
class TicketIssuer
{
public:
    /** Issues as `self`, whose process started at `startedAt`. */
    TicketIssuer(InstanceRef self, TimePoint startedAt, TicketAuthenticator authenticate);

    /** Returns a signed ticket. The lifetime is clamped to (0, maximumTicketLifetime]. */
    Ticket issue(TimePoint now, const InstanceRef &home, const InstanceRef &witness, const ServiceId &service, Duration lifetime);

private:
    InstanceRef m_self;
    TimePoint m_startedAt;
    TicketAuthenticator m_authenticate;
    std::uint64_t m_lastIssueTime = 0;
};

} // namespace jackdawdoor::idempotency
