/** A store that comes back from an older copy: instances neither miss what is written afterwards nor forget what they knew. */
#include "standins/proxyinstance.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

using namespace jackdawdoor;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::ScriptedReply;
using standins::ScriptedUpstream;
using standins::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string upstreamTopic = "keyed.servers";
const std::string instanceTopic = "keyed.instances";

/** Makes the store unavailable for a moment, and brings it back from the copy. */
void restore(PlatformStore &store, const PlatformStore::Copy &copy)
{
    store.setFault(StoreFault::Busy);
    std::this_thread::sleep_for(milliseconds{300});
    store.restore(copy);
    store.setFault(StoreFault::None);
}

/** True if the instance knows the upstream as ready. */
bool knowsReady(ProxyInstance &instance, const std::string &id)
{
    bool ready = false;
    instance.call([&](proxy::Gateway &gateway) {
        for (const fleet::UpstreamEntry &entry : gateway.upstreams()) {
            ready = ready || (entry.id.value == id && entry.status == fleet::UpstreamStatus::Ready);
        }
    });
    return ready;
}

bool waitUntil(const std::function<bool()> &condition, Duration time)
{
    const TimePoint end = net::now() + time;
    while (!condition() && net::now() < end) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    return condition();
}

ScriptedReply answer(const standins::ReceivedRequest &request)
{
    return {ScriptedUpstream::answerTo(request, 200, "ok")};
}

} // namespace

TEST_CASE("a configuration that is written at an offset given out again is not skipped")
{
    PlatformStore store;
    standins::putConfiguration(store, 1);
    ProxyInstance instance(store);
    REQUIRE(instance.waitForVersion(1));
    const PlatformStore::Copy copy = store.copy();
    standins::putConfiguration(store, 2);
    standins::putConfiguration(store, 3);
    REQUIRE(instance.waitForVersion(3));
    store.setFault(StoreFault::Busy);
    std::this_thread::sleep_for(milliseconds{300});
    store.restore(copy);
    // The operator writes its newest configuration again, and a further one before the instance reads.
    standins::putConfiguration(store, 3);
    standins::putConfiguration(store, 5);
    store.setFault(StoreFault::None);
    CHECK_MESSAGE(instance.waitForVersion(5), "a configuration written after the restoration is not in force");
}

TEST_CASE("an upstream that drains at an offset given out again is not skipped")
{
    ScriptedUpstream server(answer);
    PlatformStore store;
    standins::putConfiguration(store, 1);
    standins::putUpstream(store, "u0", server.address(), 1);
    standins::putUpstream(store, "u1", server.address(), 1);
    ProxyInstance instance(store);
    REQUIRE(instance.waitForUpstreams(2));
    const PlatformStore::Copy copy = store.copy();
    standins::putUpstream(store, "u1", server.address(), 2);
    std::this_thread::sleep_for(milliseconds{800}); // read
    store.setFault(StoreFault::Busy);
    std::this_thread::sleep_for(milliseconds{300});
    store.restore(copy);
    standins::putUpstream(store, "u0", server.address(), 2, "draining");
    store.setFault(StoreFault::None);
    const bool known = waitUntil(
        [&] {
            return !knowsReady(instance, "u0");
        },
        seconds{3});
    CHECK_MESSAGE(known, "an upstream that drains is still used");
}

TEST_CASE("an upstream that registered since the copy stays in use until it has written its entry again")
{
    ScriptedUpstream server(answer);
    PlatformStore store;
    standins::putConfiguration(store, 1);
    standins::putUpstream(store, "u0", server.address(), 1);
    ProxyInstance instance(store);
    REQUIRE(instance.waitForUpstreams(1));
    const PlatformStore::Copy copy = store.copy();
    standins::putUpstream(store, "u1", server.address(), 7);
    REQUIRE(instance.waitForUpstreams(2));
    restore(store, copy);
    const bool vanished = waitUntil(
        [&] {
            return !knowsReady(instance, "u1");
        },
        milliseconds{1500});
    CHECK_MESSAGE(!vanished, "an upstream vanished because the store forgot it");
    standins::putUpstream(store, "u1", server.address(), 7);
    std::this_thread::sleep_for(seconds{4});
    CHECK_MESSAGE(knowsReady(instance, "u1"), "the entry that was written again is ignored");
}

TEST_CASE("an upstream whose entry is not written again is gone after a few seconds")
{
    ScriptedUpstream server(answer);
    PlatformStore store;
    standins::putConfiguration(store, 1);
    standins::putUpstream(store, "u0", server.address(), 1);
    ProxyInstance instance(store);
    REQUIRE(instance.waitForUpstreams(1));
    const PlatformStore::Copy copy = store.copy();
    standins::putUpstream(store, "u1", server.address(), 7);
    REQUIRE(instance.waitForUpstreams(2));
    restore(store, copy);
    CHECK_MESSAGE(instance.waitForUpstreams(1), "an upstream that does not write its entry again is used for ever");
}

TEST_CASE("a copy does not bring back an upstream that has left, nor undo its draining")
{
    ScriptedUpstream server(answer);
    PlatformStore store;
    standins::putConfiguration(store, 1);
    for (const char *id : {"u0", "u1", "u2"}) {
        standins::putUpstream(store, id, server.address(), 1);
    }
    ProxyInstance instance(store);
    REQUIRE(instance.waitForUpstreams(3));
    const PlatformStore::Copy copy = store.copy();
    store.put(upstreamTopic, "u1", "");
    standins::putUpstream(store, "u2", server.address(), 2, "draining");
    REQUIRE(instance.waitForUpstreams(2));
    restore(store, copy);
    const bool isBack = waitUntil(
        [&] {
            return knowsReady(instance, "u1") || knowsReady(instance, "u2");
        },
        seconds{3});
    CHECK_MESSAGE(!isBack, "an upstream that had left, or drains, is in use again");
}

TEST_CASE("an instance whose registration the store has lost registers again")
{
    PlatformStore store;
    standins::putConfiguration(store, 1);
    const PlatformStore::Copy copy = store.copy();
    ProxyInstance instance(store);
    REQUIRE(instance.waitForVersion(1));
    const auto registered = [&] {
        return !store.newest(instanceTopic, "edge-1").empty();
    };
    REQUIRE(waitUntil(registered, seconds{5}));
    restore(store, copy);
    REQUIRE(!registered());
    CHECK_MESSAGE(waitUntil(registered, seconds{8}), "instances that start later cannot find this one by the list");
}
