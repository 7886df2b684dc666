#include "idempotency/tablehandover.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

/** Maximum unconfirmed chunks in flight to one witness; limits the network burst of a stop. */
constexpr std::size_t handoverWindow = 4;

} // namespace

TableHandover::TableHandover(TimePoint now, InstanceRef home, const KeyLimits &limits, const std::vector<HandoverEntry> &keys)
    : m_home(std::move(home))
    , m_retryInterval(limits.retryInterval)
    , m_deadline(now + limits.handoverTimeout)
{
    for (const HandoverEntry &key : keys) {
        addToChunks(m_receivers[key.key.ticket.witness], key, limits);
    }
}

bool TableHandover::Receiver::allChunksConfirmed() const
{
    return std::all_of(chunks.begin(), chunks.end(), [](const ChunkState &state) {
        return state.confirmed;
    });
}

void TableHandover::addToChunks(Receiver &receiver, const HandoverEntry &key, const KeyLimits &limits)
{
    const std::size_t bytes = key.outcome.answer.body.size();
    const bool full = receiver.chunks.empty() || receiver.chunks.back().chunk.entries.size() >= limits.chunkEntries
                      || receiver.lastChunkBytes + bytes > limits.chunkBytes;
    if (full) {
        ChunkState state;
        state.chunk.home = m_home;
        state.chunk.index = static_cast<std::uint32_t>(receiver.chunks.size());
        receiver.chunks.push_back(std::move(state));
        receiver.lastChunkBytes = 0;
    }
    receiver.chunks.back().chunk.entries.push_back(key);
    receiver.lastChunkBytes += bytes;
}

std::vector<Outgoing<IdempotencyMessage>> TableHandover::onTick(TimePoint now)
{
    std::vector<Outgoing<IdempotencyMessage>> messages;
    if (m_timedOut || complete()) {
        return messages;
    }
    if (now >= m_deadline) {
        m_timedOut = true;
        return messages;
    }
    for (auto &[witness, receiver] : m_receivers) {
        sendChunks(now, witness, receiver, messages);
        if (receiver.allChunksConfirmed() && !receiver.confirmed && now >= receiver.nextSend) {
            receiver.nextSend = now + m_retryInterval;
            messages.push_back({witness, HandoverComplete{m_home, static_cast<std::uint32_t>(receiver.chunks.size())}});
        }
    }
    return messages;
}

void TableHandover::sendChunks(TimePoint now,
                               const InstanceRef &witness,
                               Receiver &receiver,
                               std::vector<Outgoing<IdempotencyMessage>> &messages)
{
    std::size_t inFlight = 0;
    for (ChunkState &state : receiver.chunks) {
        if (state.confirmed) {
            continue;
        }
        if (now >= state.nextSend) {
            state.nextSend = now + m_retryInterval;
            messages.push_back({witness, state.chunk});
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
    if (message.index < receiver.chunks.size()) {
        receiver.chunks[message.index].confirmed = true;
    } else if (message.index == receiver.chunks.size() && receiver.allChunksConfirmed()) {
        receiver.confirmed = true;
    }
}

bool TableHandover::complete() const
{
    return std::all_of(m_receivers.begin(), m_receivers.end(), [](const auto &receiver) {
        return receiver.second.confirmed;
    });
}

bool TableHandover::timedOut() const
{
    return m_timedOut;
}

} // namespace jackdawdoor::idempotency
