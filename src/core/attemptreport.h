/** Reports of the adapter about one attempt at an upstream.
 *
 * An answered attempt is reported twice: when the head arrives, so that the core can decide between relaying the answer
 * and trying another upstream, and when it ends.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawdoor::core {

/** Number of an attempt, assigned by the core; unique within one incarnation. */
using AttemptId = std::uint64_t;

/** Head of an upstream's answer. */
struct AnswerHead {
    AttemptId attempt = 0;
    int status = 0;
    std::string contentType; ///< empty when absent
    std::string freshness; ///< value of the contract's freshness header; empty when absent
    std::optional<std::uint64_t> contentLength;
    bool shed = false; ///< the upstream rejected the request before running it (503 with Retry-After, or 429)

    bool operator==(const AnswerHead &) const = default;
};

/** How an attempt ended. */
enum class AttemptEnd {
    Complete, ///< the whole answer arrived
    ShortBody, ///< the answer ended before its declared length
    ConnectFailed, ///< no connection could be opened; nothing was sent
    Reset, ///< the connection was closed or reset after bytes of the request were sent
    Timeout, ///< no head within the attempt timeout, or no bytes within the idle timeout
    Cancelled, ///< cancelled by the core
};

/** End of an attempt. */
struct AttemptReport {
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Complete;
    bool newConnection = false; ///< the attempt opened its own connection
    Duration connectionSilence{}; ///< time since the connection last carried an answer, when the attempt began
    std::uint64_t answerBytes = 0;
    std::string storedBody; ///< first bytes of the answer, up to DispatchAttempt::storeAnswerBytes

    bool operator==(const AttemptReport &) const = default;
};

} // namespace jackdawdoor::core
