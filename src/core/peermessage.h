/** Control messages between instances, and their binary encoding.
 *
 * A message is encoded as CBOR: a pair of its kind and a positional array of its fields. Positions instead of names keep
 * a message within a few dozen bytes, as the control traffic budget of 2 KB/s per instance requires.
 */
#pragma once

#include "base/error.h"
#include "configuration/configurationmessage.h"
#include "health/evidencereport.h"
#include "health/verdict.h"
#include "idempotency/idempotencymessage.h"
#include "limits/slotmessage.h"
#include "membership/membershipmessage.h"

#include <string>
#include <string_view>
#include <variant>

namespace jackdawdoor::core {

/** From holder to coordinator: slot demand and health evidence for one service. */
struct ServiceReport {
    limits::SlotDemand demand;
    health::EvidenceReport evidence;

    bool operator==(const ServiceReport &) const = default;
};

/** From coordinator to holder: leased slots and verdicts on upstreams of one service. */
struct ServiceUpdate {
    limits::SlotGrant grant;
    health::Verdicts verdicts;

    bool operator==(const ServiceUpdate &) const = default;
};

/** To the other holders of a service: a request that was in flight when upstreams crashed. */
struct SuspectNotice {
    ServiceId service;
    idempotency::SuspectReport report;

    bool operator==(const SuspectNotice &) const = default;
};

using PeerMessage = std::variant<membership::MembershipMessage,
                                 configuration::ConfigurationMessage,
                                 idempotency::IdempotencyMessage,
                                 ServiceReport,
                                 ServiceUpdate,
                                 SuspectNotice>;

/** Largest accepted message. The largest message sent is a full page of contracts. */
constexpr std::size_t maximumPeerMessageBytes = std::size_t{512} * 1024;

/** Binary form of a message. */
std::string encodePeerMessage(const PeerMessage &message);

/** Decodes a message. Returns an Error for malformed or oversized input; doesn't throw. */
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace jackdawdoor::core
