/** Collects the effects of one input.
 *
 * Messages of this instance to itself never reach the adapter: they are queued here until the instance delivers them.
 */
#pragma once

#include "base/outgoing.h"
#include "core/effect.h"

#include <functional>
#include <utility>
#include <vector>

namespace jackdawdoor::core {

/** Effects and local messages produced while one input is handled. */
class Outbox
{
public:
    /** Address of a receiver; empty when unknown. */
    using AddressLookup = std::function<std::string(const InstanceRef &)>;

    Outbox(InstanceRef self, AddressLookup addressOf);

    void add(Effect effect);

    /** Sends a control message; dropped if the receiver's address is unknown. */
    void send(const InstanceRef &to, PeerMessage message);

    /** Sends the messages of a module. */
    template <typename Message>
    void sendAll(const std::vector<Outgoing<Message>> &messages)
    {
        for (const auto &outgoing : messages) {
            send(outgoing.to, PeerMessage{outgoing.message});
        }
    }

    /** Adds a decision to the log. */
    void log(LogDecision decision);

    /** Takes the effects collected so far. */
    Effects takeEffects();

    /** Takes the queued messages to this instance itself. */
    std::vector<PeerMessage> takeLocal();

private:
    InstanceRef m_self;
    AddressLookup m_addressOf;
    Effects m_effects;
    std::vector<PeerMessage> m_local;
};

} // namespace jackdawdoor::core
