/** Datagrams between instances about upstreams and about what the platform's store holds.
 *
 * Each is small enough for one datagram and may be lost: loads and store notices are repeated, and a lost failure notice
 * costs a later detection only. Encoded as CBOR positional arrays.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/upstreamcatalogue.h"
#include "membership/membershipmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawdoor::fleet {

/** Load of one upstream from one instance. */
struct LoadItem {
    std::uint32_t key = 0; ///< of the upstream's incarnation
    int inFlight = 0;
    int successes = 0; ///< since the previous report
    int begun = 0; ///< requests begun since the previous report

    bool operator==(const LoadItem &) const = default;
};

/** Requests of one service at one instance. */
struct DemandItem {
    std::uint32_t service = 0; ///< short name, see serviceKey
    int requests = 0; ///< arrived since the previous report

    bool operator==(const DemandItem &) const = default;
};

/** What one instance has running, and what has come and ended since the last report. */
struct LoadReport {
    std::vector<LoadItem> items;
    std::vector<DemandItem> demand = {};
    bool serving = false; ///< callers use the sender now, so that it needs the others' reports soon

    bool operator==(const LoadReport &) const = default;
};

/** Short name of a service in messages between instances. */
std::uint32_t serviceKey(const ServiceId &service);

/** A request failed at an upstream. */
struct FailureNotice {
    std::uint32_t key = 0; ///< of the upstream's incarnation

    bool operator==(const FailureNotice &) const = default;
};

/** Another upstream has the address: the one named is gone from it. */
struct MisdirectedNotice {
    std::uint32_t key = 0; ///< of the upstream's incarnation

    bool operator==(const MisdirectedNotice &) const = default;
};

/** A request may have crashed an upstream. */
struct CrashNotice {
    std::uint64_t request = 0; ///< fingerprint of method, target and body
    std::uint32_t key = 0; ///< of the upstream's incarnation

    bool operator==(const CrashNotice &) const = default;
};

/** What the sender knows from the platform's store. */
struct StoreNotice {
    std::uint64_t configurationVersion = 0; ///< zero: none
    std::uint64_t catalogue = 0; ///< fingerprint of the upstreams
    Duration age{}; ///< since the start of the sender's last complete reading

    bool operator==(const StoreNotice &) const = default;
};

/** Upstreams that have changed at the sender's last reading of the store. */
struct UpstreamDelta {
    std::vector<UpstreamEntry> entries;
    std::vector<UpstreamTombstone> tombstones;

    bool operator==(const UpstreamDelta &) const = default;
};

/** An upstream's entry as a positional array. from_json throws nlohmann::json::exception on malformed input. */
void to_json(nlohmann::json &json, const UpstreamEntry &entry);
void from_json(const nlohmann::json &json, UpstreamEntry &entry);

using FleetMessage =
    std::variant<LoadReport, FailureNotice, CrashNotice, StoreNotice, UpstreamDelta, MisdirectedNotice, membership::MembershipMessage>;

/** A message with its sender. */
struct FleetDatagram {
    InstanceRef from;
    FleetMessage message;
};

std::string encodeDatagram(const FleetDatagram &datagram);

/** Nothing for bytes that are not a datagram of this form. */
std::optional<FleetDatagram> decodeDatagram(std::string_view bytes);

} // namespace jackdawdoor::fleet
