/** Entries of upstreams that expire while the store is away: a replica that reads the log again from an old offset must not remove
 * upstreams that other instances have already told it of. */
#include "platform/storeclient.h"
#include "proxy/storereplica.h"
#include "standins/proxyinstance.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using standins::PlatformStore;
using standins::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string upstreamTopic = "keyed.servers";
constexpr int upstreamCount = 5;

std::string upstreamId(int index)
{
    return "u" + std::to_string(index);
}

/** A replica with a client of its own, which passes the changes that it finds to the others. It reads the store only while the test
 * calls readUntil(). */
class TestReplica
{
public:
    TestReplica(net::EventLoop &loop, const PlatformStore &store, const std::string &name)
        : m_loop(loop)
        , m_client(loop, {"127.0.0.1", store.server().port()})
        , m_replica(loop, m_client.access([](const char *, bool) {}), InstanceId{name}, DataCentreId{"dc"}, hooks())
    {
    }

    /** Sends the changes that this replica finds to another one. */
    void shareWith(TestReplica &other)
    {
        m_receivers.push_back(&other);
    }

    /** Reads the store until the condition holds; false if it does not within the time. */
    bool readUntil(const std::function<bool()> &condition, Duration time)
    {
        const TimePoint end = net::now() + time;
        bool holds = false;
        while (!holds && net::now() < end) {
            m_loop.call([&] {
                m_replica.tick(net::now(), m_view);
                holds = condition();
            });
            std::this_thread::sleep_for(milliseconds{10});
        }
        return holds;
    }

    /** Completes at least one read of the store that begins now. */
    void readOnce(PlatformStore &store)
    {
        const int calls = store.calls();
        readUntil(
            [] {
                return false;
            },
            milliseconds{600});
        REQUIRE(store.calls() > calls);
    }

    std::size_t known() const
    {
        std::size_t count = 0;
        m_loop.call([&] {
            count = m_replica.catalogue().entries().size();
        });
        return count;
    }

    bool knowsAll() const
    {
        return m_replica.catalogue().entries().size() == upstreamCount;
    }

    bool knowsNone() const
    {
        return m_replica.catalogue().entries().empty();
    }

private:
    proxy::StoreReplicaHooks hooks()
    {
        proxy::StoreReplicaHooks made;
        made.onConfiguration = [](const auto &) {};
        made.onUpstreams = [] {};
        made.onRestored = [] {};
        made.onDelta = [this](const fleet::UpstreamDelta &delta) {
            for (TestReplica *receiver : m_receivers) {
                receiver->m_replica.applyDelta(delta);
            }
        };
        return made;
    }

    net::EventLoop &m_loop;
    membership::MembershipView m_view;
    std::vector<TestReplica *> m_receivers;
    platform::StoreClient m_client;
    proxy::StoreReplica m_replica;
};

/** A store, and a data centre whose reader passes changes to a second replica. */
class ExpiryFixture
{
public:
    ExpiryFixture()
    {
        writeAll(1);
        m_loop.start();
        m_loop.call([this] {
            reader = std::make_unique<TestReplica>(m_loop, store, "edge-1");
            other = std::make_unique<TestReplica>(m_loop, store, "edge-2");
            reader->shareWith(*other);
            other->shareWith(*reader);
        });
        for (TestReplica *replica : {reader.get(), other.get()}) {
            REQUIRE(replica->readUntil(
                [replica] {
                    return replica->knowsAll();
                },
                seconds{5}));
        }
    }

    ~ExpiryFixture()
    {
        m_loop.call([this] {
            reader.reset();
            other.reset();
        });
        m_loop.stop();
    }
    ExpiryFixture(const ExpiryFixture &) = delete;
    ExpiryFixture &operator=(const ExpiryFixture &) = delete;

    /** Writes the entries of all upstreams. */
    void writeAll(int sequence)
    {
        for (int index = 0; index < upstreamCount; ++index) {
            standins::putUpstream(store, upstreamId(index), "127.0.0.1:" + std::to_string(index + 1), sequence);
        }
    }

    /** Makes the store unavailable for a moment, in which all entries expire. */
    void expireDuringOutage()
    {
        store.setFault(StoreFault::Busy);
        for (int index = 0; index < upstreamCount; ++index) {
            store.put(upstreamTopic, upstreamId(index), "");
        }
        std::this_thread::sleep_for(milliseconds{200});
        store.setFault(StoreFault::None);
    }

    /** All entries expire in an outage and come back; the reader reads the removals and the returns apart. */
    void expireAndReturn(int sequence)
    {
        expireDuringOutage();
        REQUIRE(reader->readUntil(
            [this] {
                return reader->knowsNone() && other->knowsNone();
            },
            seconds{5}));
        writeAll(sequence);
        REQUIRE(reader->readUntil(
            [this] {
                return reader->knowsAll() && other->knowsAll();
            },
            seconds{5}));
    }

    PlatformStore store;
    std::unique_ptr<TestReplica> reader;
    std::unique_ptr<TestReplica> other;

private:
    net::EventLoop m_loop;
};

} // namespace

// Guards against old records that are applied again: they removed all upstreams, and no later read brought them back.
TEST_CASE("a replica that reads old removals again keeps the upstreams that have returned since")
{
    ExpiryFixture fixture;
    fixture.expireAndReturn(2);
    fixture.other->readOnce(fixture.store);
    CHECK_MESSAGE(fixture.other->known() == upstreamCount, "old removals removed newer entries");
    CHECK_MESSAGE(fixture.reader->known() == upstreamCount, "a replica shared old removals as changes of its own");
}

// Guards against the same after a second outage, in which the replica that reads late has missed both returns.
TEST_CASE("upstreams whose entries expire in two outages are known again after each of them")
{
    ExpiryFixture fixture;
    fixture.expireAndReturn(2);
    fixture.expireAndReturn(3);
    fixture.store.setFault(StoreFault::Busy);
    std::this_thread::sleep_for(milliseconds{200});
    fixture.store.setFault(StoreFault::None);
    fixture.other->readOnce(fixture.store);
    CHECK_MESSAGE(fixture.other->known() == upstreamCount, "old removals removed newer entries");
    CHECK_MESSAGE(fixture.reader->known() == upstreamCount, "a replica shared old removals as changes of its own");
    fixture.reader->readOnce(fixture.store);
    CHECK(fixture.reader->known() == upstreamCount);
}

// Guards against an upstream that returns with the sequence number of its removed entry and is then dropped as outdated.
TEST_CASE("upstreams that return with an equal sequence number are known again")
{
    ExpiryFixture fixture;
    fixture.expireAndReturn(1);
    fixture.other->readOnce(fixture.store);
    CHECK(fixture.other->known() == upstreamCount);
    CHECK(fixture.reader->known() == upstreamCount);
}
