#include "fleet/fleetmessage.h"

#include "base/stablehash.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace jackdawdoor::fleet {

using nlohmann::json;

namespace {

json encodePayload(const LoadReport &report)
{
    json items = json::array();
    for (const LoadItem &item : report.items) {
        items.push_back(item.key);
        items.push_back(item.inFlight);
        items.push_back(item.successes);
        items.push_back(item.begun);
    }
    json demand = json::array();
    for (const DemandItem &item : report.demand) {
        demand.push_back(item.service);
        demand.push_back(item.requests);
    }
    json fields = json::array({std::move(items), std::move(demand), report.serving});
    if (!report.failures.empty()) {
        // Instances of an earlier version ignore this field.
        json failures = json::array();
        for (const FailureItem &item : report.failures) {
            failures.push_back(item.service);
            failures.push_back(item.failures);
        }
        fields.push_back(std::move(failures));
    }
    return fields;
}

json encodePayload(const UpstreamNotice &notice)
{
    json out = json::array();
    for (const NoticeItem &item : notice.items) {
        json fields = json::array({item.key, item.failures, item.begun});
        if (item.rateLimit || item.leaving || item.unreached > 0) {
            // Instances of an earlier version ignore a limit that is not a number, and the fields after it.
            fields.push_back(item.rateLimit.value_or(std::numeric_limits<double>::quiet_NaN()));
        }
        if (item.leaving || item.unreached > 0) {
            fields.push_back(item.leaving);
        }
        if (item.unreached > 0) {
            fields.push_back(item.unreached);
        }
        out.push_back(std::move(fields));
    }
    return out;
}

json encodePayload(const MisdirectedNotice &notice)
{
    return json::array({notice.key});
}

json encodePayload(const CrashNotice &notice)
{
    return json::array({notice.request, notice.key});
}

json encodeAttempts(const std::vector<std::optional<CrashedAttempt>> &attempts)
{
    json out = json::array();
    for (const std::optional<CrashedAttempt> &attempt : attempts) {
        out.push_back(attempt ? json::array({attempt->begun.count(), attempt->lost.count()}) : json::array());
    }
    return out;
}

json encodePayload(const CrashReport &report)
{
    json out = json::array();
    for (const CrashRecord &record : report.records) {
        json fields = json::array({record.request, record.clearances, record.age.count(), record.upstreams});
        if (!record.attempts.empty()) {
            fields.push_back(encodeAttempts(record.attempts));
        }
        out.push_back(std::move(fields));
    }
    return out;
}

json encodePayload(const QuotaReport &report)
{
    json items = json::array();
    for (const limits::QuotaItem &item : report.items) {
        items.push_back(item.key);
        items.push_back(item.started);
        items.push_back(item.admitted);
        items.push_back(item.givenBack);
        items.push_back(item.asked);
        items.push_back(static_cast<float>(item.balance)); // four bytes are enough
    }
    return json::array({report.sequence, report.uptime, report.active, std::move(items)});
}

json encodePayload(const StoreNotice &notice)
{
    json fields = json::array({notice.configurationVersion, notice.catalogue, notice.age.count()});
    if (notice.history) {
        fields.push_back(*notice.history);
    }
    return fields;
}

json encodePayload(const UpstreamDelta &delta)
{
    json tombstones = json::array();
    for (const UpstreamTombstone &upstream : delta.tombstones) {
        json fields = json::array({upstream.id.value, upstream.incarnation, upstream.sequence});
        if (upstream.position) {
            fields.push_back(encodePosition(*upstream.position));
        }
        tombstones.push_back(std::move(fields));
    }
    return json::array({delta.entries, std::move(tombstones)});
}

json encodePayload(const membership::MembershipMessage &message)
{
    json payload;
    std::visit(
        [&payload](const auto &typed) {
            payload = typed;
        },
        message);
    return json::array({message.index(), std::move(payload)});
}

} // namespace

std::uint32_t serviceKey(const ServiceId &service)
{
    return static_cast<std::uint32_t>(stableHash(service.value));
}

std::vector<UpstreamDelta> splitDelta(const UpstreamDelta &delta, std::size_t maximumEntries)
{
    std::vector<UpstreamDelta> parts;
    const auto partWithRoom = [&parts, maximumEntries]() -> UpstreamDelta & {
        if (parts.empty() || parts.back().entries.size() + parts.back().tombstones.size() >= maximumEntries) {
            parts.emplace_back();
        }
        return parts.back();
    };
    for (const UpstreamEntry &entry : delta.entries) {
        partWithRoom().entries.push_back(entry);
    }
    for (const UpstreamTombstone &tombstone : delta.tombstones) {
        partWithRoom().tombstones.push_back(tombstone);
    }
    return parts;
}

json encodePosition(const StorePosition &position)
{
    return json::array({position.history ? json(*position.history) : json(), position.offset});
}

std::optional<StorePosition> decodePosition(const json &in, std::size_t index)
{
    if (in.size() <= index) {
        return std::nullopt;
    }
    const json &fields = in.at(index);
    const json &history = fields.at(0);
    StorePosition position;
    // Throws if a number is negative or not an integer; get() would convert it.
    if (!history.is_null()) {
        position.history = history.get_ref<const json::number_unsigned_t &>();
    }
    position.offset = fields.at(1).get_ref<const json::number_unsigned_t &>();
    return position;
}

void to_json(json &out, const UpstreamEntry &entry)
{
    out = json::array({entry.id.value,
                       entry.service.value,
                       entry.address,
                       entry.dataCentre.value,
                       entry.incarnation,
                       entry.sequence,
                       entry.slots,
                       static_cast<int>(entry.status),
                       entry.warmupLeft.count()});
    if (entry.position) {
        out.push_back(encodePosition(*entry.position));
    }
}

void from_json(const json &in, UpstreamEntry &entry)
{
    entry.id = UpstreamId{in.at(0).get<std::string>()};
    entry.service = ServiceId{in.at(1).get<std::string>()};
    entry.address = in.at(2).get<std::string>();
    entry.dataCentre = DataCentreId{in.at(3).get<std::string>()};
    entry.incarnation = in.at(4).get<std::int64_t>();
    entry.sequence = in.at(5).get<std::int64_t>();
    entry.slots = in.at(6).get<int>();
    entry.status = in.at(7).get<int>() == 0 ? UpstreamStatus::Ready : UpstreamStatus::Draining;
    entry.warmupLeft = Duration{in.at(8).get<Duration::rep>()};
    constexpr std::size_t positionIndex = 9;
    entry.position = decodePosition(in, positionIndex);
}

std::string encodeDatagram(const FleetDatagram &datagram)
{
    json payload = std::visit(
        [](const auto &typed) {
            return encodePayload(typed);
        },
        datagram.message);
    const json whole = json::array({datagram.message.index(), datagram.from.id.value, datagram.from.incarnation, std::move(payload)});
    std::string bytes;
    json::to_cbor(whole, bytes);
    return bytes;
}

} // namespace jackdawdoor::fleet
