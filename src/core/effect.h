/** Actions that the decision core requests from its adapters.
 *
 * Each method of Instance returns effects; the adapter carries them out in order. PeerMessage is declared in
 * core/peermessage.h.
 */
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "core/attemptreport.h"
#include "core/callerrequest.h"
#include "core/peermessage.h"
#include "core/refusal.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jackdawdoor::core {

/** Send a request to an upstream. */
struct DispatchAttempt {
    RequestId request = 0;
    AttemptId attempt = 0;
    UpstreamId upstream;
    std::string address; ///< "ip:port"
    Duration attemptTimeout{}; ///< to the first byte of the answer
    Duration idleTimeout{}; ///< between two reads of the body
    Duration remainingDeadline{}; ///< passed to the upstream as X-Deadline-Ms
    Duration maximumSilence{}; ///< connections without an answer for longer must not be reused; zero: open a new one
    int connectionLimit = 1; ///< maximum open connections of this instance to the upstream
    std::string freshnessHeader; ///< header to report in AnswerHead::freshness; empty when none
    std::uint64_t storeAnswerBytes = 0; ///< bytes of the answer to return in AttemptReport::storedBody
    std::uint64_t maximumAnswerBytes = 0;

    bool operator==(const DispatchAttempt &) const = default;
};

/** Cancel an attempt and close its connection; its slot stays in use until the AttemptReport arrives. */
struct CancelAttempt {
    AttemptId attempt = 0;

    bool operator==(const CancelAttempt &) const = default;
};

/** Stream the attempt's answer to the caller. Issued at most once per request. */
struct RelayAnswer {
    RequestId request = 0;
    AttemptId attempt = 0;

    bool operator==(const RelayAnswer &) const = default;
};

/** Answer a request with the stored answer of an earlier request that had the same idempotency key. */
struct RelayStored {
    RequestId request = 0;
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyComplete = false; ///< the stored body is not truncated

    bool operator==(const RelayStored &) const = default;
};

/** Refuse the request. */
struct Refuse {
    RequestId request = 0;
    Refusal refusal;

    bool operator==(const Refuse &) const = default;
};

/** Forward the whole request to another instance and relay its answer; call onForwardFailed() if there is none. */
struct ForwardToPeer {
    RequestId request = 0;
    InstanceRef peer;
    std::string address;

    bool operator==(const ForwardToPeer &) const = default;
};

/** Send a control message to another instance. Delivery is not guaranteed. */
struct SendPeerMessage {
    InstanceRef peer; ///< incarnation 0 when unknown
    std::string address;
    PeerMessage message;

    bool operator==(const SendPeerMessage &) const = default;
};

/** Read a page of the configuration stream; answered by onLogPage or onLogFailed. */
struct ReadLog {
    std::uint64_t fromOffset = 0;
    std::uint32_t maximumRecords = 0;

    bool operator==(const ReadLog &) const = default;
};

/** Append a record to the configuration stream. */
struct AppendLog {
    std::string record;

    bool operator==(const AppendLog &) const = default;
};

/** A decision for the log, with the alternatives that were not chosen. */
struct LogDecision {
    std::string kind; ///< such as "route", "eject", "return", "refuse", "place"
    RequestId request = 0; ///< zero when the decision doesn't concern a single request
    CustomerId customer;
    std::string subject; ///< operation, service or upstream
    std::string choice;
    std::string reason;
    std::string passedOver; ///< alternatives that were not chosen, and why

    bool operator==(const LogDecision &) const = default;
};

/** The planned stop is complete; the process may exit. */
struct StopFinished {
    bool operator==(const StopFinished &) const = default;
};

using Effect = std::variant<DispatchAttempt,
                            CancelAttempt,
                            RelayAnswer,
                            RelayStored,
                            Refuse,
                            ForwardToPeer,
                            SendPeerMessage,
                            ReadLog,
                            AppendLog,
                            LogDecision,
                            StopFinished>;

using Effects = std::vector<Effect>;

} // namespace jackdawdoor::core
