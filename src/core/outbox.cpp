#include "core/outbox.h"

namespace jackdawdoor::core {

Outbox::Outbox(InstanceRef self, AddressLookup addressOf)
    : m_self(std::move(self))
    , m_addressOf(std::move(addressOf))
{
}

void Outbox::add(Effect effect)
{
    m_effects.push_back(std::move(effect));
}

void Outbox::send(const InstanceRef &to, PeerMessage message)
{
    const bool forSelf = to.id == m_self.id && (to.incarnation == 0 || to.incarnation == m_self.incarnation);
    if (forSelf) {
        m_local.push_back(std::move(message));
        return;
    }
    std::string address = m_addressOf(to);
    if (!address.empty()) {
        m_effects.emplace_back(SendPeerMessage{to, std::move(address), std::move(message)});
    }
}

void Outbox::log(LogDecision decision)
{
    m_effects.emplace_back(std::move(decision));
}

Effects Outbox::takeEffects()
{
    return std::exchange(m_effects, {});
}

std::vector<PeerMessage> Outbox::takeLocal()
{
    return std::exchange(m_local, {});
}

} // namespace jackdawdoor::core
