// Decoding of the datagrams between instances.
#include "fleet/fleetmessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawdoor::fleet {

using nlohmann::json;

namespace {

LoadReport decodeLoad(const json &in)
{
    constexpr std::size_t itemWidth = 4;
    constexpr std::size_t demandWidth = 2;
    LoadReport report;
    const json &items = in.at(0);
    for (std::size_t index = 0; index + itemWidth <= items.size(); index += itemWidth) {
        report.items.push_back({items.at(index).get<std::uint32_t>(),
                                items.at(index + 1).get<int>(),
                                items.at(index + 2).get<int>(),
                                items.at(index + 3).get<int>()});
    }
    const json &demand = in.at(1);
    for (std::size_t index = 0; index + demandWidth <= demand.size(); index += demandWidth) {
        report.demand.push_back({demand.at(index).get<std::uint32_t>(), demand.at(index + 1).get<int>()});
    }
    report.serving = in.at(2).get<bool>();
    constexpr std::size_t failuresIndex = 3;
    constexpr std::size_t failuresWidth = 2;
    const json failures = in.size() > failuresIndex ? in.at(failuresIndex) : json::array();
    for (std::size_t index = 0; index + failuresWidth <= failures.size(); index += failuresWidth) {
        report.failures.push_back({failures.at(index).get<std::uint32_t>(), failures.at(index + 1).get<int>()});
    }
    return report;
}

UpstreamNotice decodeNotice(const json &in)
{
    UpstreamNotice notice;
    // Instances of an earlier version report a single failure as [key].
    if (!in.empty() && in.at(0).is_number()) {
        notice.items.push_back({in.at(0).get<std::uint32_t>(), 1, 0});
        return notice;
    }
    for (const json &item : in) {
        NoticeItem decoded{item.at(0).get<std::uint32_t>(), item.at(1).get<int>(), item.at(2).get<int>()};
        // Fields that instances of earlier versions do not send.
        constexpr std::size_t limitIndex = 3;
        constexpr std::size_t leavingIndex = 4;
        const double limit = item.size() > limitIndex ? item.at(limitIndex).get<double>() : std::numeric_limits<double>::quiet_NaN();
        if (!std::isnan(limit)) {
            decoded.rateLimit = limit;
        }
        decoded.leaving = item.size() > leavingIndex && item.at(leavingIndex).get<bool>();
        constexpr std::size_t unreachedIndex = 5;
        decoded.unreached = item.size() > unreachedIndex ? item.at(unreachedIndex).get<int>() : 0;
        notice.items.push_back(decoded);
    }
    return notice;
}

StoreNotice decodeStoreNotice(const json &in)
{
    StoreNotice notice{in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>(), Duration{in.at(2).get<Duration::rep>()}};
    constexpr std::size_t historyIndex = 3; // not sent by instances of an earlier version
    if (in.size() > historyIndex) {
        notice.history = in.at(historyIndex).get<StoreHistoryNumber>();
    }
    return notice;
}

UpstreamDelta decodeDelta(const json &in)
{
    UpstreamDelta delta;
    delta.entries = in.at(0).get<std::vector<UpstreamEntry>>();
    for (const json &upstream : in.at(1)) {
        constexpr std::size_t positionIndex = 3;
        delta.tombstones.push_back({UpstreamId{upstream.at(0).get<std::string>()},
                                    upstream.at(1).get<std::int64_t>(),
                                    upstream.at(2).get<std::int64_t>(),
                                    decodePosition(upstream, positionIndex)});
    }
    return delta;
}

/** Attempts of a crash record; records of earlier versions have none. */
std::vector<std::optional<CrashedAttempt>> decodeAttempts(const json &record)
{
    constexpr std::size_t position = 4;
    std::vector<std::optional<CrashedAttempt>> attempts;
    if (record.size() <= position) {
        return attempts;
    }
    for (const json &attempt : record.at(position).get_ref<const json::array_t &>()) {
        std::optional<CrashedAttempt> ages;
        if (!attempt.get_ref<const json::array_t &>().empty()) {
            ages = CrashedAttempt{Duration{attempt.at(0).get<Duration::rep>()}, Duration{attempt.at(1).get<Duration::rep>()}};
        }
        attempts.push_back(ages);
    }
    return attempts;
}

CrashReport decodeCrashReport(const json &in)
{
    CrashReport report;
    for (const json &record : in) {
        report.records.push_back({record.at(0).get<std::uint64_t>(),
                                  record.at(1).get<std::uint32_t>(),
                                  Duration{record.at(2).get<Duration::rep>()},
                                  record.at(3).get<std::vector<std::uint32_t>>(),
                                  decodeAttempts(record)});
    }
    return report;
}

/** A conversion of a floating-point number that does not fit would be undefined. */
std::int64_t decodeCount(const json &in)
{
    return in.is_number_integer() ? in.get<std::int64_t>() : -1;
}

QuotaReport decodeQuotaReport(const json &in)
{
    constexpr std::size_t itemWidth = 6;
    QuotaReport report{decodeCount(in.at(0)), decodeCount(in.at(1)), in.at(2).get<bool>(), {}};
    const json &items = in.at(3);
    const std::size_t length = std::min(items.size(), limits::maximumQuotaItems * itemWidth);
    for (std::size_t index = 0; index + itemWidth <= length; index += itemWidth) {
        report.items.push_back({static_cast<std::uint64_t>(decodeCount(items.at(index))),
                                decodeCount(items.at(index + 1)),
                                decodeCount(items.at(index + 2)),
                                decodeCount(items.at(index + 3)),
                                decodeCount(items.at(index + 4)),
                                items.at(index + 5).get<double>()});
    }
    return report;
}

membership::MembershipMessage decodeMembership(const json &in)
{
    switch (in.at(0).get<std::size_t>()) {
    case 0:
        return in.at(1).get<membership::Ping>();
    case 1:
        return in.at(1).get<membership::PingRequest>();
    default:
        return in.at(1).get<membership::Ack>();
    }
}

FleetMessage decodePayload(std::size_t kind, const json &in)
{
    switch (kind) {
    case 0:
        return decodeLoad(in);
    case 1:
        return decodeNotice(in);
    case 2:
        return CrashNotice{in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint32_t>()};
    case 3:
        return decodeStoreNotice(in);
    case 4:
        return decodeDelta(in);
    case 5:
        return MisdirectedNotice{in.at(0).get<std::uint32_t>()};
    case 6:
        return decodeMembership(in);
    case 7:
        return decodeCrashReport(in);
    default:
        return decodeQuotaReport(in);
    }
}

} // namespace

std::optional<FleetDatagram> decodeDatagram(std::string_view bytes)
{
    try {
        const json whole = json::from_cbor(bytes);
        const auto kind = whole.at(0).get<std::size_t>();
        if (kind >= std::variant_size_v<FleetMessage>) {
            return std::nullopt;
        }
        return FleetDatagram{{InstanceId{whole.at(1).get<std::string>()}, whole.at(2).get<Incarnation>()},
                             decodePayload(kind, whole.at(3))};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace jackdawdoor::fleet
