#include "idempotency/issuerclocks.h"

#include <algorithm>
#include <limits>

namespace jackdawdoor::idempotency {

IssuerClocks::IssuerClocks(Duration margin, std::size_t maximumIssuers)
    : m_margin(margin)
    , m_maximumIssuers(std::max<std::size_t>(maximumIssuers, 1))
    , m_evictedOffset(std::numeric_limits<std::int64_t>::min())
{
}

TicketAge IssuerClocks::evaluate(TimePoint now, const Ticket &ticket)
{
    const std::int64_t clock = now.time_since_epoch().count();
    const auto issueTime = static_cast<std::int64_t>(ticket.issueTime);
    auto found = m_issuers.find(ticket.issuer);
    if (found == m_issuers.end()) {
        if (m_issuers.size() >= m_maximumIssuers) {
            evictOldest();
        }
        found = m_issuers.emplace(ticket.issuer, Issuer{m_evictedOffset, now}).first;
    }
    Issuer &issuer = found->second;
    issuer.offset = std::max(issuer.offset, issueTime - clock);
    issuer.lastSeen = std::max(issuer.lastSeen, now);
    const Duration age{clock + issuer.offset - issueTime};
    if (age <= ticket.lifetime) {
        return TicketAge::Valid;
    }
    return age <= ticket.lifetime + m_margin ? TicketAge::Expired : TicketAge::PastRetention;
}

TimePoint IssuerClocks::dropTime(TimePoint now, const Ticket &ticket) const
{
    return now + ticket.lifetime + m_margin;
}

std::size_t IssuerClocks::size() const
{
    return m_issuers.size();
}

void IssuerClocks::evictOldest()
{
    const auto oldest = std::min_element(m_issuers.begin(), m_issuers.end(), [](const auto &left, const auto &right) {
        return left.second.lastSeen < right.second.lastSeen;
    });
    m_evictedOffset = std::max(m_evictedOffset, oldest->second.offset);
    m_issuers.erase(oldest);
}

} // namespace jackdawdoor::idempotency
