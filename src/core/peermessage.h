/** Control messages between instances, and their binary form.
 *
 * Messages travel as CBOR: a pair of the message's kind and its fields as a positional array. Positions instead of
 * names keep a message within a few dozen bytes, which the control budget of 2 KB/s per instance calls for.
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

/** Holder to coordinator: slot demand and health evidence of one service. */
struct ServiceReport {
    limits::SlotDemand demand;
    health::EvidenceReport evidence;

    bool operator==(const ServiceReport &) const = default;
};

/** Coordinator to holder: leased slots and verdicts on upstreams of one service. */
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

/** Largest accepted message in bytes; a full page of contracts is the largest that is sent. */
constexpr std::size_t maximumPeerMessageBytes = std::size_t{512} * 1024;

/** Binary form of a message. */
std::string encodePeerMessage(const PeerMessage &message);

/** Reverse of encodePeerMessage(). Fails on malformed or too large input and never throws. */
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace jackdawdoor::core
