/** Bounds and timeouts of the key tables. */
#pragma once

#include "base/time.h"

#include <cstddef>

namespace jackdawdoor::idempotency {

/** Limits of a HomeKeys or WitnessKeys. The control overhead target is 64 MB for an instance, both tables included. */
struct KeyLimits {
    std::size_t maximumEntries = 16384; ///< keys in the table, closed ones included; 1.2 KB each at home, 0.8 KB at the witness
    std::size_t maximumStoredBytes = std::size_t{8} * 1024 * 1024; ///< total size of the bodies of stored answers
    std::size_t maximumAnswerBytes = std::size_t{16} * 1024; ///< body of one stored answer; larger bodies are not stored
    std::size_t maximumIssuers = 8192; ///< issuer incarnations whose clocks are tracked
    std::size_t maximumHomes = 1024; ///< home incarnations that a witness tracks
    Duration recordTimeout = std::chrono::milliseconds{800}; ///< the witness must confirm a record within this time
    Duration retryInterval = std::chrono::milliseconds{200}; ///< between transmissions of an unacknowledged control message
    int updateAttempts = 4; ///< transmissions of an unacknowledged outcome update
    Duration handoverTimeout = std::chrono::seconds{10}; ///< a handover that is not confirmed by then is abandoned
    Duration expiryMargin = std::chrono::seconds{30}; ///< entries are kept until the ticket expires plus this time
    std::size_t chunkEntries = 64; ///< keys in one handover chunk
    std::size_t chunkBytes = std::size_t{32} * 1024; ///< total size of the bodies in one handover chunk
    std::size_t closedFilterBits = std::size_t{1} << 20; ///< for keys refused while the table was full; allocated on use
};

} // namespace jackdawdoor::idempotency
