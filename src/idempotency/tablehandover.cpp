#include "idempotency/tablehandover.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

/** Unconfirmed chunks in flight to one witness; limits the burst that a stop puts on the network. */
constexpr std::size_t handoverWindow = 4;

} // namespace

TableHandover::TableHandover(TimePoint now, InstanceRef home, const KeyLimits &limits, const std::vector<HandedKey> &keys)
    : m_home(std::move(home))
    , m_retryInterval(limits.retryInterval)
    , m_deadline(now + limits.handoverTimeout)
{
    for (const HandedKey &key : keys) {
        addToChunks(m_receivers[key.key.ticket.witness], key, limits);
    }
}

bool TableHandover::Receiver::allPartsConfirmed() const
{
    return std::all_of(parts.begin(), parts.end(), [](const Part &part) {
        return part.confirmed;
    });
}

void TableHandover::addToChunks(Receiver &receiver, const HandedKey &key, const KeyLimits &limits)
{
    const std::size_t bytes = key.outcome.answer.body.size();
    const bool full = receiver.parts.empty() || receiver.parts.back().chunk.entries.size() >= limits.chunkEntries
                      || receiver.lastPartBytes + bytes > limits.chunkBytes;
    if (full) {
        Part part;
        part.chunk.home = m_home;
        part.chunk.index = static_cast<std::uint32_t>(receiver.parts.size());
        receiver.parts.push_back(std::move(part));
        receiver.lastPartBytes = 0;
    }
    receiver.parts.back().chunk.entries.push_back(key);
    receiver.lastPartBytes += bytes;
}

std::vector<Outgoing<IdempotencyMessage>> TableHandover::onTick(TimePoint now)
{
    std::vector<Outgoing<IdempotencyMessage>> messages;
    if (m_givenUp || complete()) {
        return messages;
    }
    if (now >= m_deadline) {
        m_givenUp = true;
        return messages;
    }
    for (auto &[witness, receiver] : m_receivers) {
        sendParts(now, witness, receiver, messages);
        if (receiver.allPartsConfirmed() && !receiver.confirmed && now >= receiver.nextSend) {
            receiver.nextSend = now + m_retryInterval;
            messages.push_back({witness, HandoverComplete{m_home, static_cast<std::uint32_t>(receiver.parts.size())}});
        }
    }
    return messages;
}

void TableHandover::sendParts(TimePoint now,
                              const InstanceRef &witness,
                              Receiver &receiver,
                              std::vector<Outgoing<IdempotencyMessage>> &messages)
{
    std::size_t inFlight = 0;
    for (Part &part : receiver.parts) {
        if (part.confirmed) {
            continue;
        }
        if (now >= part.nextSend) {
            part.nextSend = now + m_retryInterval;
            messages.push_back({witness, part.chunk});
        }
        if (++inFlight == handoverWindow) {
            return;
        }
    }
}

void TableHandover::onConfirmed(const InstanceRef &from, const HandoverConfirmed &message)
{
    const auto found = m_receivers.find(from);
    if (found == m_receivers.end() || message.home != m_home) {
        return;
    }
    Receiver &receiver = found->second;
    if (message.index < receiver.parts.size()) {
        receiver.parts[message.index].confirmed = true;
    } else if (message.index == receiver.parts.size() && receiver.allPartsConfirmed()) {
        receiver.confirmed = true;
    }
}

bool TableHandover::complete() const
{
    return std::all_of(m_receivers.begin(), m_receivers.end(), [](const auto &receiver) {
        return receiver.second.confirmed;
    });
}

bool TableHandover::givenUp() const
{
    return m_givenUp;
}

} // namespace jackdawdoor::idempotency
