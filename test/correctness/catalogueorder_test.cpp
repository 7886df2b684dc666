/** Order of catalogue changes: replicas that learn of the same records in any order, more than once or not at all end with the
 * contents of the store. */
#include "cataloguemodel.h"
#include "fleet/catalogueorder.h"
#include "fleet/upstreamcatalogue.h"

#include <boost/log/core.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using namespace jackdawdoor::cataloguemodel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Turns the log off: each read of the whole store logs a line. */
class QuietLog
{
public:
    QuietLog()
    {
        boost::log::core::get()->set_logging_enabled(false);
    }
    ~QuietLog()
    {
        boost::log::core::get()->set_logging_enabled(true);
    }
    QuietLog(const QuietLog &) = delete;
    QuietLog &operator=(const QuietLog &) = delete;
};

/** A store with some replicas, and the messages between them that are still on their way. */
class ModelFleet
{
public:
    explicit ModelFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (int index = 0; index < replicaCount; ++index) {
            m_replicas.push_back(std::make_unique<ModelReplica>(m_loop, m_store, "i" + std::to_string(index)));
        }
    }

    void step()
    {
        ModelReplica &replica = *m_replicas[m_random() % m_replicas.size()];
        switch (m_random() % 6) {
        case 0:
        case 1:
            m_wasRestored = m_store.step(m_random) || m_wasRestored;
            break;
        case 2:
            read(replica);
            break;
        case 3:
            m_states.push_back({replica.replica().exportState(0, 0, m_now), m_now});
            break;
        case 4:
            deliverState(replica);
            break;
        default:
            deliverDelta(replica);
        }
        collect();
    }

    /** Lets each replica read the store once, and then lets entries of earlier histories expire. */
    void settle()
    {
        m_store.settle();
        for (const auto &replica : m_replicas) {
            if (replica->reading()) {
                replica->fail();
            }
        }
        readAll();
        // Stored in a variable, because RC_ASSERT overloads || and would evaluate both sides.
        const bool isEqual = m_wasRestored || allEqualStore();
        RC_ASSERT(isEqual);
        expire();
    }

    /** Delivers messages that were sent before, in any order. */
    void deliverLate()
    {
        for (int count = 0; count < lateMessages; ++count) {
            ModelReplica &replica = *m_replicas[m_random() % m_replicas.size()];
            if (m_random() % 2 == 0) {
                deliverState(replica);
            } else {
                deliverDelta(replica);
            }
        }
        expire();
    }

    bool allEqualStore()
    {
        for (const auto &replica : m_replicas) {
            const auto newest = m_store.now().newest();
            const auto entries = replica->replica().catalogue().entries();
            const bool equal =
                std::equal(entries.begin(), entries.end(), newest.begin(), newest.end(), [this](const auto &entry, const auto &record) {
                    return entry == m_store.now().change(record.second).entry;
                });
            if (!equal) {
                return false;
            }
        }
        return true;
    }

private:
    struct SentState {
        std::string bytes;
        TimePoint at;
    };

    static constexpr int replicaCount = 3;
    static constexpr int lateMessages = 10;

    void read(ModelReplica &replica)
    {
        m_now += seconds{1};
        if (!replica.reading()) {
            replica.tick(m_now);
        } else if (m_random() % 8 == 0) {
            replica.fail();
        } else {
            replica.answer(m_random);
        }
    }

    void readAll()
    {
        for (const auto &replica : m_replicas) {
            m_now += seconds{2};
            replica->tick(m_now);
            while (replica->reading()) {
                replica->answerNow();
            }
        }
    }

    /** Reads often enough for entries of earlier histories to expire. */
    void expire()
    {
        for (int count = 0; count < 3; ++count) {
            m_now += seconds{3};
            readAll();
        }
    }

    /** Messages stay after their delivery, so that they are delivered again, or never. */
    void deliverState(ModelReplica &replica)
    {
        if (!m_states.empty()) {
            const SentState &state = m_states[m_random() % m_states.size()];
            replica.replica().importState(state.bytes, state.at);
        }
    }

    void deliverDelta(ModelReplica &replica)
    {
        if (!m_deltas.empty()) {
            const auto datagram = decodeDatagram(m_deltas[m_random() % m_deltas.size()]);
            RC_ASSERT(datagram.has_value());
            replica.replica().applyDelta(std::get<UpstreamDelta>(datagram->message));
        }
    }

    void collect()
    {
        for (const auto &replica : m_replicas) {
            for (std::string &bytes : replica->takeShared()) {
                m_deltas.push_back(std::move(bytes));
            }
        }
    }

    std::mt19937_64 m_random;
    net::EventLoop m_loop;
    ModelStore m_store{6};
    std::vector<std::unique_ptr<ModelReplica>> m_replicas;
    std::vector<std::string> m_deltas;
    std::vector<SentState> m_states;
    TimePoint m_now = net::now();
    bool m_wasRestored = false;
};

UpstreamEntry entryAt(const std::string &id, std::int64_t sequence, std::optional<StorePosition> position)
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.incarnation = 1;
    entry.sequence = sequence;
    entry.position = position;
    return entry;
}

} // namespace

// Guards against replicas that keep a removed upstream, or drop one that lives, because they learned of its records in another
// order than they were written.
TEST_CASE("after any reads and messages, one current read makes each replica equal to the store")
{
    const QuietLog quiet;
    const bool holds = rc::check("replicas converge", [] {
        ModelFleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        const int steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step) {
            fleet.step();
        }
        fleet.settle();
        RC_ASSERT(fleet.allEqualStore());
        fleet.deliverLate();
        RC_ASSERT(fleet.allEqualStore());
    });
    CHECK_MESSAGE(holds, "a replica differs from the store");
}

TEST_CASE("the position decides within a history, whatever the report numbers are")
{
    const CatalogueState entry{false, {5, 3}, StorePosition{1, 10}};
    CHECK(isNewer({false, {4, 1}, StorePosition{1, 11}}, entry));
    CHECK(isNewer({true, {}, StorePosition{1, 11}}, entry));
    CHECK_MESSAGE(!isNewer({true, {9, 9}, StorePosition{1, 9}}, entry), "an old removal removes a newer entry");
    CHECK_MESSAGE(!isNewer({false, {9, 9}, StorePosition{1, 10}}, entry), "the same record counts as newer");
    const CatalogueState tombstone{true, {5, 3}, StorePosition{1, 12}};
    CHECK_MESSAGE(isNewer({false, {5, 3}, StorePosition{1, 13}}, tombstone), "an entry that returns is dropped");
}

TEST_CASE("across histories, a restored copy neither brings back what has left nor undoes a later report")
{
    const CatalogueState entry{false, {5, 3}, StorePosition{1, 10}};
    CHECK(isNewer({true, {}, StorePosition{2, 1}}, entry));
    CHECK(isNewer({false, {5, 3}, StorePosition{2, 1}}, entry));
    CHECK(!isNewer({false, {5, 2}, StorePosition{2, 1}}, entry));
    const CatalogueState tombstone{true, {5, 3}, StorePosition{1, 10}};
    CHECK(!isNewer({false, {5, 3}, StorePosition{2, 1}}, tombstone));
    CHECK(isNewer({false, {5, 4}, StorePosition{2, 1}}, tombstone));
    const CatalogueState later{false, {5, 3}, StorePosition{2, 1}};
    CHECK(!isNewer({true, {9, 9}, StorePosition{1, 50}}, later));
    CHECK(!isNewer({false, {5, 3}, StorePosition{1, 50}}, later));
    CHECK(isNewer({false, {5, 4}, StorePosition{1, 50}}, later));
}

TEST_CASE("without a position the report number decides, as for instances of an earlier version")
{
    const CatalogueState entry{false, {5, 3}, StorePosition{1, 10}};
    CHECK(!isNewer({false, {5, 3}, std::nullopt}, entry));
    CHECK(isNewer({false, {5, 4}, std::nullopt}, entry));
    CHECK(isNewer({true, {5, 3}, std::nullopt}, entry));
    CHECK(!isNewer({true, {5, 2}, std::nullopt}, entry));
    CHECK(!isNewer({false, {5, 3}, std::nullopt}, {true, {5, 3}, StorePosition{1, 10}}));
}

// Guards against an instance that keeps a removed upstream: the sender of the state still waits for the confirmation of an entry of
// the store's former history, and the receiver has read a later one of the present history.
TEST_CASE("a state that lists only an unconfirmed entry of an upstream removes a later entry that it covers")
{
    UpstreamCatalogue catalogue;
    catalogue.apply(entryAt("u", 4, StorePosition{2, 2}));
    CHECK(catalogue.replace({entryAt("u", 3, StorePosition{1, 2})}, StorePosition{2, 5}));
    CHECK_MESSAGE(catalogue.find(UpstreamId{"u"}) == nullptr, "the upstream stays");
    CHECK_MESSAGE(catalogue.apply(entryAt("u", 4, StorePosition{2, 2})) == CatalogueChange::Nothing, "a late entry brings it back");
}

TEST_CASE("a removal of an unknown upstream keeps a late older entry out")
{
    UpstreamCatalogue catalogue;
    CHECK(catalogue.remove(UpstreamId{"u"}, StorePosition{1, 8}) == CatalogueChange::Nothing);
    CHECK_MESSAGE(catalogue.apply(entryAt("u", 9, StorePosition{1, 7})) == CatalogueChange::Nothing, "a late entry is applied");
    CHECK(catalogue.apply(entryAt("u", 1, StorePosition{1, 9})) == CatalogueChange::Added);
}

TEST_CASE("a full state removes only what its position covers")
{
    UpstreamCatalogue catalogue;
    catalogue.apply(entryAt("a", 1, StorePosition{1, 4}));
    catalogue.apply(entryAt("b", 1, StorePosition{1, 6}));
    CHECK(catalogue.replace({}, StorePosition{1, 6}));
    CHECK(catalogue.find(UpstreamId{"a"}) == nullptr);
    CHECK_MESSAGE(catalogue.find(UpstreamId{"b"}) != nullptr, "a state removed an entry that was written after it");
    CHECK(catalogue.tombstone(UpstreamId{"a"})->position == StorePosition{1, 5});
    CHECK(catalogue.apply(entryAt("a", 1, StorePosition{1, 6})) == CatalogueChange::Added);
    CHECK_MESSAGE(catalogue.apply(entryAt("c", 1, StorePosition{1, 3})) == CatalogueChange::Nothing, "the state lacked this entry");
}

// Guards against upstreams that stay in use for ever because the store stated a wrong history once.
TEST_CASE("positions of a history that was wrong no longer decide")
{
    UpstreamCatalogue catalogue;
    catalogue.replace({entryAt("a", 1, StorePosition{1000000, 3})}, StorePosition{1000000, 4});
    catalogue.forgetHistoriesAfter(4);
    CHECK(catalogue.remove(UpstreamId{"a"}, StorePosition{4, 3}) == CatalogueChange::Removed);
}

TEST_CASE("only the oldest tombstones are dropped when there are too many")
{
    constexpr std::uint64_t limit = 10000;
    UpstreamCatalogue catalogue;
    for (std::uint64_t offset = 0; offset <= limit; ++offset) {
        catalogue.remove(UpstreamId{std::to_string(offset)}, StorePosition{1, offset});
    }
    CHECK(!catalogue.tombstone(UpstreamId{"0"}).has_value());
    CHECK(catalogue.tombstone(UpstreamId{"1"}).has_value());
    CHECK(catalogue.tombstone(UpstreamId{std::to_string(limit)}).has_value());
}

TEST_CASE("equal fingerprints mean equal records")
{
    UpstreamCatalogue first;
    UpstreamCatalogue second;
    first.apply(entryAt("a", 1, StorePosition{1, 4}));
    second.apply(entryAt("a", 1, StorePosition{1, 5}));
    CHECK(first.fingerprint() != second.fingerprint());
    first.apply(entryAt("a", 2, StorePosition{1, 5}));
    CHECK(first.fingerprint() == second.fingerprint());
}

TEST_CASE("positions in deltas survive a round trip, may be absent, and malformed ones reject the message")
{
    UpstreamDelta delta{
        {entryAt("a", 1, StorePosition{7, 4}), entryAt("b", 1, StorePosition{std::nullopt, 5}), entryAt("c", 1, std::nullopt)},
        {{UpstreamId{"d"}, 1, 2, StorePosition{7, 6}}, {UpstreamId{"e"}, 1, 2}}};
    const auto decoded = decodeDatagram(encodeDatagram({{InstanceId{"i"}, 1}, delta}));
    REQUIRE(decoded.has_value());
    CHECK(std::get<UpstreamDelta>(decoded->message) == delta);
    for (const char *text : {"7", "[]", "[7]", "[7,-1]", "[-7,1]", "[\"7\",1]", "[7,1.5]", "[7,null]", "null", "{}"}) {
        nlohmann::json tombstone = nlohmann::json::array({"d", 1, 2, nlohmann::json::parse(text)});
        const auto whole =
            nlohmann::json::array({4, "i", 1, nlohmann::json::array({nlohmann::json::array(), nlohmann::json::array({tombstone})})});
        std::string bytes;
        nlohmann::json::to_cbor(whole, bytes);
        CHECK_MESSAGE(!decodeDatagram(bytes).has_value(), text << " was accepted as a position");
    }
}
