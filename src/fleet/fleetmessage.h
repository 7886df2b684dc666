/** Datagrams between instances about upstreams and the contents of the platform's store.
 *
 * Each message fits into one datagram and may be lost: load reports and store notices are repeated, and a lost failure
 * notice only delays detection. Messages are encoded as positional CBOR arrays.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/crashtracker.h"
#include "fleet/storehistory.h"
#include "fleet/upstreamcatalogue.h"
#include "limits/quotareport.h"
#include "membership/membershipmessage.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawdoor::fleet {

/** Load that one instance puts on one upstream. */
struct LoadItem {
    std::uint32_t key = 0; ///< see upstreamKey
    int inFlight = 0;
    int successes = 0; ///< since the previous report
    int begun = 0; ///< attempts begun since the previous report

    bool operator==(const LoadItem &) const = default;
};

/** Requests that one instance received for one service. */
struct DemandItem {
    std::uint32_t service = 0; ///< see serviceKey
    int requests = 0; ///< requests received since the previous report

    bool operator==(const DemandItem &) const = default;
};

/** Requests of one service that got no successful answer from one instance. */
struct FailureItem {
    std::uint32_t service = 0; ///< see serviceKey
    int failures = 0; ///< since the previous report

    bool operator==(const FailureItem &) const = default;
};

/** Requests in flight at one instance, and those received and ended since its previous report. */
struct LoadReport {
    std::vector<LoadItem> items;
    std::vector<DemandItem> demand = {};
    bool serving = false; ///< the sender has callers, so it needs reports of other instances soon
    std::vector<FailureItem> failures = {};

    bool operator==(const LoadReport &) const = default;
};

/** Hash that identifies a service in messages between instances. */
std::uint32_t serviceKey(const ServiceId &service);

/** Value of NoticeItem::rateLimit for an upstream whose rate limit has ended. */
constexpr double noRateLimit = std::numeric_limits<double>::infinity();

/** Failures at one upstream, and requests sent to it, since the sender's previous notice. */
struct NoticeItem {
    std::uint32_t key = 0; ///< see upstreamKey
    int failures = 0;
    int begun = 0; ///< requests to a rate-limited upstream, or to one that no instance had used recently
    std::optional<double> rateLimit = std::nullopt; ///< requests a second for the whole fleet, or noRateLimit
    bool leaving = false; ///< the upstream has announced that its process is about to end
    int unreached = 0; ///< requests, counted as begun before, whose connection did not open

    bool operator==(const NoticeItem &) const = default;
};

/** Reports, ahead of the next load report, what other instances should know at once when they choose an upstream. */
struct UpstreamNotice {
    std::vector<NoticeItem> items;

    bool operator==(const UpstreamNotice &) const = default;
};

/** Reports that the upstream's address now belongs to another upstream. */
struct MisdirectedNotice {
    std::uint32_t key = 0; ///< see upstreamKey

    bool operator==(const MisdirectedNotice &) const = default;
};

/** Reports that a request may have crashed an upstream. Received from instances of earlier versions only. */
struct CrashNotice {
    std::uint64_t request = 0; ///< fingerprint of method, target and body
    std::uint32_t key = 0; ///< see upstreamKey

    bool operator==(const CrashNotice &) const = default;
};

/** Reports what the sender knows of requests that crash upstreams. */
struct CrashReport {
    std::vector<CrashRecord> records;

    bool operator==(const CrashReport &) const = default;
};

/** Announces the state of the sender's copy of the store. */
struct StoreNotice {
    std::uint64_t configurationVersion = 0; ///< zero if there is none
    std::uint64_t catalogue = 0; ///< fingerprint of the upstream catalogue
    Duration age{}; ///< time since the start of the sender's last complete read
    std::optional<StoreHistoryNumber> history = std::nullopt; ///< the latest that the sender knows of

    bool operator==(const StoreNotice &) const = default;
};

/** Changes of upstreams in the sender's last read of the store. */
struct UpstreamDelta {
    std::vector<UpstreamEntry> entries;
    std::vector<UpstreamTombstone> tombstones;

    bool operator==(const UpstreamDelta &) const = default;
};

/** Splits a delta into parts with at most that many entries and tombstones each. */
std::vector<UpstreamDelta> splitDelta(const UpstreamDelta &delta, std::size_t maximumEntries);

/** Encodes a position in the store's log as an element of a positional array. */
nlohmann::json encodePosition(const StorePosition &position);

/** Decodes the position at an index of a positional array. Nothing if the array ends before it, as in messages of instances of an
 * earlier version. Throws nlohmann::json::exception on malformed input. */
std::optional<StorePosition> decodePosition(const nlohmann::json &array, std::size_t index);

/** Converts an upstream's entry to and from a positional array. from_json throws nlohmann::json::exception on malformed input. */
void to_json(nlohmann::json &json, const UpstreamEntry &entry);
void from_json(const nlohmann::json &json, UpstreamEntry &entry);

/** Requests of organisations with a quota. At most limits::maximumQuotaItems items. */
using QuotaReport = limits::QuotaReport;

using FleetMessage = std::variant<LoadReport,
                                  UpstreamNotice,
                                  CrashNotice,
                                  StoreNotice,
                                  UpstreamDelta,
                                  MisdirectedNotice,
                                  membership::MembershipMessage,
                                  CrashReport,
                                  QuotaReport>;

/** A message with its sender. */
struct FleetDatagram {
    InstanceRef from;
    FleetMessage message;
};

std::string encodeDatagram(const FleetDatagram &datagram);

/** Returns nullopt if the bytes are not a valid datagram. */
std::optional<FleetDatagram> decodeDatagram(std::string_view bytes);

} // namespace jackdawdoor::fleet
