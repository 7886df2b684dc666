#include "idempotency/ticketissuer.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

TicketIssuer::TicketIssuer(InstanceRef self, TimePoint startedAt, TicketAuthenticator authenticate)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_authenticate(std::move(authenticate))
{
}

Ticket TicketIssuer::issue(TimePoint now, const InstanceRef &home, const InstanceRef &witness, const ServiceId &service, Duration lifetime)
{
    const Duration sinceStart = std::max(now - m_startedAt, Duration{0});
    const std::uint64_t clock = m_self.incarnation + static_cast<std::uint64_t>(sinceStart.count());
    m_lastIssueTime = std::max(m_lastIssueTime + 1, clock);
    Ticket ticket;
    ticket.home = home;
    ticket.witness = witness;
    ticket.service = service;
    ticket.issuer = issuerNumber(m_self);
    ticket.issueTime = m_lastIssueTime;
    ticket.lifetime = std::clamp(lifetime, Duration{1}, maximumTicketLifetime);
    ticket.sign(m_authenticate);
    return ticket;
}

} // namespace jackdawdoor::idempotency
