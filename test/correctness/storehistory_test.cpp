/** Histories of the platform's store: what an instance makes of answers before and after a restoration, without a network. */
#include "fleet/fleetmessage.h"
#include "fleet/upstreamcatalogue.h"
#include "proxy/storereplica.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours{1}};

UpstreamEntry entryOf(const std::string &id, std::int64_t sequence, UpstreamStatus status = UpstreamStatus::Ready)
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.service = ServiceId{"s"};
    entry.address = "10.0.0.1:80";
    entry.incarnation = 1;
    entry.sequence = sequence;
    entry.status = status;
    return entry;
}

/** Store whose calls the test answers by hand. */
struct ManualStore {
    std::vector<StorePosition> askedFrom;
    proxy::StoreAccess::Continuation<proxy::UpstreamUpdate> answerUpstreams;

    proxy::StoreAccess access()
    {
        proxy::StoreAccess hooks;
        hooks.readUpstreams = [this](const StorePosition &from, const auto &done) {
            askedFrom.push_back(from);
            answerUpstreams = done;
        };
        hooks.readConfiguration = [](const StorePosition &, Duration, const auto &) {};
        return hooks;
    }

    void answer(const std::vector<UpstreamEntry> &entries, StorePosition next, bool complete)
    {
        proxy::UpstreamUpdate update;
        for (const UpstreamEntry &entry : entries) {
            update.changes.push_back({entry.id, false, entry});
        }
        update.next = next;
        update.complete = complete;
        const auto done = answerUpstreams;
        done(update);
    }
};

/** A replica that reads by itself, since it knows no other instance. */
struct ReplicaUnderTest {
    net::EventLoop loop;
    ManualStore store;
    membership::MembershipView view;
    int restorations = 0;
    proxy::StoreReplica replica{loop, store.access(), InstanceId{"edge-1"}, DataCentreId{"dc"}, hooks()};

    proxy::StoreReplicaHooks hooks()
    {
        proxy::StoreReplicaHooks made;
        made.onConfiguration = [](const auto &) {};
        made.onUpstreams = [] {};
        made.onDelta = [](const auto &) {};
        made.onRestored = [this] {
            ++restorations;
        };
        return made;
    }

    bool knows(const std::string &id) const
    {
        return replica.catalogue().find(UpstreamId{id}) != nullptr;
    }
};

} // namespace

TEST_CASE("only an answer to a call from before the store was restored counts as outdated")
{
    StoreHistory history;
    CHECK(history.observe(start, start, std::nullopt));
    CHECK(history.observe(start, start, 4));
    const TimePoint restored = start + seconds{10};
    CHECK(history.observe(restored, restored - seconds{1}, 5));
    CHECK_MESSAGE(!history.observe(restored + seconds{1}, restored - seconds{1}, 4), "a late answer of the former history is used");
    CHECK(history.observe(restored + seconds{1}, restored - seconds{1}, std::nullopt));
    CHECK(history.present() == 5);
}

TEST_CASE("a wrong number of the store's history does not keep an instance from reading")
{
    StoreHistory history;
    CHECK(history.observe(start, start, 4));
    CHECK(history.observe(start + seconds{1}, start, 1000000));
    CHECK_MESSAGE(history.observe(start + seconds{2}, start + seconds{1}, 4), "all further answers of the store are dropped");
    CHECK(history.present() == 4);
}

TEST_CASE("a restoration of the store is told once")
{
    StoreHistory history;
    CHECK_MESSAGE(!history.tellsRestoration(4), "the first number tells nothing of the past");
    CHECK(!history.tellsRestoration(std::nullopt));
    CHECK(history.tellsRestoration(5));
    CHECK(!history.tellsRestoration(5));
    CHECK(!history.tellsRestoration(4));
}

TEST_CASE("a notice with a wrong number of the store's history does not stop a replica")
{
    ReplicaUnderTest test;
    test.replica.tick(start, test.view);
    test.store.answer({entryOf("a", 1)}, {1, 10}, true);
    test.replica.onNotice(start + milliseconds{500}, {0, 0, {}, 1000000}, settings::Endpoint{"127.0.0.1", 1});
    CHECK(test.restorations == 1);
    test.replica.tick(start + seconds{1}, test.view);
    test.store.answer({entryOf("b", 1)}, {1, 11}, false);
    CHECK_MESSAGE(test.knows("b"), "the store's own answers are dropped because of another instance's number");
}

TEST_CASE("records at offsets that a restored store has given out again are read in full")
{
    ReplicaUnderTest test;
    test.replica.tick(start, test.view);
    test.store.answer({entryOf("a", 1), entryOf("b", 1)}, {1, 10}, true);
    test.replica.tick(start + seconds{1}, test.view);
    // Offset 10 holds another record now.
    test.store.answer({entryOf("c", 1)}, {2, 11}, false);
    CHECK_MESSAGE(test.store.askedFrom.back().offset == 0, "the instance reads on from an offset of the former history");
    test.store.answer({entryOf("a", 2, UpstreamStatus::Draining), entryOf("c", 1)}, {2, 11}, true);
    CHECK(test.restorations == 1);
    CHECK(test.replica.catalogue().find(UpstreamId{"a"})->status == UpstreamStatus::Draining);
    CHECK(test.knows("c"));
    CHECK_MESSAGE(test.knows("b"), "an upstream vanished because the store forgot it");
}

TEST_CASE("an entry that a restored store lacks stays until it is confirmed or its time is over")
{
    UpstreamCatalogue catalogue;
    catalogue.replace({entryOf("a", 5), entryOf("b", 5), entryOf("c", 5)});
    catalogue.restore(start, {entryOf("a", 3)});
    CHECK_MESSAGE(catalogue.find(UpstreamId{"a"})->sequence == 5, "a copy undid a later report");
    CHECK(catalogue.entries().size() == 3);
    // The same report, written again, is a sign of life; an older one is not.
    catalogue.apply(entryOf("b", 5));
    catalogue.apply(entryOf("c", 4));
    CHECK(!catalogue.expireUnconfirmed(start + seconds{2}));
    CHECK(catalogue.expireUnconfirmed(start + seconds{3}));
    CHECK(catalogue.find(UpstreamId{"b"}) != nullptr);
    CHECK_MESSAGE(catalogue.find(UpstreamId{"c"}) == nullptr, "an upstream that did not write its entry again is kept");
}

TEST_CASE("a notice states the history of the store, and one of an earlier version states none")
{
    for (const StoreNotice &notice : {StoreNotice{1, 2, milliseconds{3}, 4}, StoreNotice{1, 2, milliseconds{3}}}) {
        const auto datagram = decodeDatagram(encodeDatagram({{InstanceId{"a"}, 1}, notice}));
        REQUIRE(datagram.has_value());
        CHECK(std::get<StoreNotice>(datagram->message) == notice);
    }
}
