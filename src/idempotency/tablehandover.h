/** Transfers the key table of a stopping home to the witnesses.
 *
 * Each witness gets the keys whose tickets name it, in chunks of bounded size. The chunks in a small window are
 * retransmitted until confirmed; then a completion message is sent and confirmed in the same way. From then on the
 * witness answers for the home incarnation.
 */
#pragma once

#include "base/outgoing.h"
#include "idempotency/idempotencymessage.h"
#include "idempotency/keylimits.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jackdawdoor::idempotency {

/** Handover of one complete table. */
class TableHandover
{
public:
    /** Starts the handover of `keys` from `home` at `now`. */
    TableHandover(TimePoint now, InstanceRef home, const KeyLimits &limits, const std::vector<HandoverEntry> &keys);

    /** Messages that are due: first transmissions, and retransmissions of unconfirmed ones. */
    std::vector<Outgoing<IdempotencyMessage>> onTick(TimePoint now);

    /** Handles a confirmation; duplicates and unknown indices are ignored. */
    void onConfirmed(const InstanceRef &from, const HandoverConfirmed &message);

    bool complete() const; ///< every witness confirmed the completion
    bool timedOut() const; ///< the handover timeout passed before that

private:
    struct ChunkState {
        HandoverChunk chunk;
        bool confirmed = false;
        TimePoint nextSend;
    };
    struct Receiver {
        std::vector<ChunkState> chunks;
        std::size_t lastChunkBytes = 0; ///< size of the bodies in the last chunk
        bool confirmed = false; ///< the completion is confirmed
        TimePoint nextSend; ///< of the completion

        bool allChunksConfirmed() const;
    };

    void addToChunks(Receiver &receiver, const HandoverEntry &key, const KeyLimits &limits);
    void sendChunks(TimePoint now, const InstanceRef &witness, Receiver &receiver, std::vector<Outgoing<IdempotencyMessage>> &messages);

    InstanceRef m_home;
    Duration m_retryInterval;
    TimePoint m_deadline;
    bool m_timedOut = false;
    std::unordered_map<InstanceRef, Receiver> m_receivers;
};

} // namespace jackdawdoor::idempotency
