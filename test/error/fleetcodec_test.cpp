/** Malformed and hostile input to membership and configuration must cause an error or have no effect, and never crash. */
#include "configuration/configuration.h"
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace jackdawdoor;
using Json = nlohmann::json;

namespace {

class Source
{
public:
    explicit Source(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint64_t number()
    {
        const std::uint64_t edges[] = {0, 1, 2, 5, 0xffffffff, 0xffffffffffffffff};
        return m_random() % 2 == 0 ? edges[m_random() % 6] : m_random() % 100;
    }

    std::string name()
    {
        const char *names[] = {"", "self", "a", "b", "c"};
        return names[m_random() % 5];
    }

    bool flag()
    {
        return m_random() % 2 == 0;
    }

    Json value(int depth)
    {
        switch (m_random() % (depth > 0 ? 7 : 5)) {
        case 0:
            return number();
        case 1:
            return name();
        case 2:
            return flag();
        case 3:
            return Json();
        case 4:
            return -1.5;
        default: {
            Json list = Json::array();
            for (std::uint64_t count = m_random() % 7; count > 0; --count) {
                list.push_back(value(depth - 1));
            }
            return list;
        }
        }
    }

    membership::MemberUpdate update()
    {
        return {{InstanceId{name()}, number()},
                static_cast<std::uint32_t>(number()),
                static_cast<membership::MemberState>(m_random() % 5),
                name(),
                DataCentreId{name()}};
    }

private:
    std::mt19937_64 m_random;
};

/** Decodes arbitrary JSON as the message type and checks the round trip. Returns true if decoding succeeded. */
template <typename Message>
bool decodes(const Json &json)
{
    try {
        const auto message = json.get<Message>();
        RC_ASSERT(Json(message).get<Message>() == message);
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

Result<contract::CustomerPolicy> acceptAnyBody(const std::string &)
{
    return contract::CustomerPolicy{};
}

} // namespace

TEST_CASE("arbitrary JSON is either a message that survives a round trip or an error")
{
    const bool holds = rc::check("message codecs are total", [] {
        Source source{*rc::gen::arbitrary<std::uint64_t>()};
        const Json json = source.value(4);
        decodes<membership::Ping>(json);
        decodes<membership::PingRequest>(json);
        decodes<membership::Ack>(json);
        decodes<configuration::Digest>(json);
        decodes<configuration::BucketDigest>(json);
        decodes<configuration::Summaries>(json);
        decodes<configuration::StateRequest>(json);
        decodes<configuration::States>(json);
        const auto record = configuration::decodeRecord(json.dump());
        RC_ASSERT(!record);

        // Valid messages must be decoded; a codec that rejects everything would pass the checks above.
        const membership::Ack ack{source.number(), {InstanceId{"a"}, source.number()}, source.flag(), {source.update(), source.update()}};
        RC_ASSERT(decodes<membership::Ack>(Json::from_cbor(Json::to_cbor(Json(ack)))));
        configuration::States states;
        states.states.push_back({CustomerId{source.name()}, source.number(), source.number(), source.name()});
        states.states.push_back({CustomerId{source.name()}, source.number(), source.number(), std::nullopt});
        RC_ASSERT(decodes<configuration::States>(Json(states)));
    });
    CHECK_MESSAGE(holds, "a codec crashed, or a message changed in the round trip");
}

TEST_CASE("a damaged log record is decoded or skipped, but never becomes a deletion")
{
    const bool holds = rc::check("record decoding is total", [] {
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        const configuration::Publish publish{CustomerId{"customer"}, "id", random() % 100, "body\n\"\xc3\xa9"};
        const std::string text = configuration::encodeRecord(publish);
        RC_ASSERT(configuration::decodeRecord(text) == configuration::LogRecord{publish});
        std::string damaged = text;
        if (random() % 2 == 0) {
            damaged.resize(random() % damaged.size());
            RC_ASSERT(!configuration::decodeRecord(damaged));
        } else {
            damaged[random() % damaged.size()] = static_cast<char>(random());
            const auto record = configuration::decodeRecord(damaged);
            // Stored in a variable, because RC_ASSERT overloads || and would evaluate both sides.
            const bool keepsBody = !record || std::get<configuration::Publish>(*record).body.has_value();
            RC_ASSERT(keepsBody);
        }
    });
    CHECK_MESSAGE(holds, "a damaged record was decoded as something else");
}

TEST_CASE("hostile peer messages never remove an instance from its own view or decrease its versions")
{
    const bool holds = rc::check("hostile messages", [] {
        Source source{*rc::gen::arbitrary<std::uint64_t>()};
        RandomSource random{source.number()};
        const InstanceRef self{InstanceId{"self"}, 5};
        membership::Membership membership{{self, "self:1", DataCentreId{"a"}, membership::MemberState::Live}, random};
        configuration::Configuration configuration{self, acceptAnyBody, random};
        std::map<CustomerId, configuration::Version> seen;
        TimePoint now;
        for (int step = 0; step < 60; ++step) {
            now += Duration{source.number() % 3'000'000};
            const InstanceRef from{InstanceId{source.name()}, source.number()};
            membership.onPeerMessage(now, from, membership::Ping{source.number(), source.flag(), {}, {source.update()}});
            membership.onPeerMessage(now, from, membership::Ack{source.number(), from, source.flag(), {source.update()}});
            membership.onPeerMessage(now, from, membership::PingRequest{source.number(), from, {source.update()}});
            membership.onTick(now);
            const auto *own = membership.view()->find(self);
            RC_ASSERT(own != nullptr);
            RC_ASSERT(own->state == membership::MemberState::Live);

            configuration::States states;
            states.states.push_back({CustomerId{source.name()}, source.number(), source.number(), source.name()});
            configuration::Summaries summaries;
            summaries.buckets.push_back(static_cast<std::uint32_t>(source.number()));
            summaries.summaries.push_back({CustomerId{source.name()}, source.number(), source.number(), source.number(), Duration{}});
            configuration.onPeerMessage(now, from, states);
            configuration.onPeerMessage(now, from, summaries);
            configuration.onPeerMessage(now, from, configuration::Digest{source.number(), source.number(), source.number(), Duration{}});
            configuration.onPeerMessage(now, from, configuration::BucketDigest{});
            configuration.onTick(now, *membership.view());
            for (const auto &[customer, version] : configuration.versions()) {
                RC_ASSERT(version >= seen[customer]);
                seen[customer] = version;
            }
        }
    });
    CHECK_MESSAGE(holds, "a hostile message removed an instance from its own view or decreased a version");
}
