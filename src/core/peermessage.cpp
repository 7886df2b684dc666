#include "core/peermessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace jackdawdoor::core {

using nlohmann::json;

namespace {

void encodePayload(json &out, const ServiceReport &report)
{
    out = json::array({report.demand, report.evidence});
}

void encodePayload(json &out, const ServiceUpdate &update)
{
    out = json::array({update.grant, update.verdicts});
}

void encodePayload(json &out, const SuspectNotice &notice)
{
    out = json::array({notice.service.value, notice.report});
}

template <typename... Parts>
void encodePayload(json &out, const std::variant<Parts...> &message)
{
    json payload;
    std::visit(
        [&payload](const auto &part) {
            payload = part;
        },
        message);
    out = json::array({message.index(), std::move(payload)});
}

void decodePayload(const json &in, ServiceReport &report)
{
    in.at(0).get_to(report.demand);
    in.at(1).get_to(report.evidence);
}

void decodePayload(const json &in, ServiceUpdate &update)
{
    in.at(0).get_to(update.grant);
    in.at(1).get_to(update.verdicts);
}

void decodePayload(const json &in, SuspectNotice &notice)
{
    in.at(0).get_to(notice.service.value);
    in.at(1).get_to(notice.report);
}

template <typename Part>
void decodePayload(const json &in, Part &part)
{
    in.get_to(part);
}

template <typename... Parts>
void decodePayload(const json &in, std::variant<Parts...> &message);

template <typename Variant, std::size_t Index = 0>
Variant decodeAlternative(std::size_t index, const json &in)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            std::variant_alternative_t<Index, Variant> part;
            decodePayload(in, part);
            return Variant{std::move(part)};
        }
        return decodeAlternative<Variant, Index + 1>(index, in);
    } else {
        throw json::other_error::create(501, "message kind is out of range", &in);
    }
}

template <typename... Parts>
void decodePayload(const json &in, std::variant<Parts...> &message)
{
    message = decodeAlternative<std::variant<Parts...>>(in.at(0).get<std::size_t>(), in.at(1));
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    json payload;
    std::visit(
        [&payload](const auto &part) {
            encodePayload(payload, part);
        },
        message);
    std::string bytes;
    json::to_cbor(json::array({message.index(), std::move(payload)}), bytes);
    return bytes;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > maximumPeerMessageBytes) {
        return Error{"decode peer message", "peer", "message is larger than " + std::to_string(maximumPeerMessageBytes) + " bytes"};
    }
    try {
        const json envelope = json::from_cbor(bytes);
        return decodeAlternative<PeerMessage>(envelope.at(0).get<std::size_t>(), envelope.at(1));
    } catch (const json::exception &exception) {
        return Error{"decode peer message", "peer", exception.what()};
    }
}

} // namespace jackdawdoor::core
