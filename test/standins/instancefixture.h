/** One proxy instance before stand-ins of upstreams, for tests that look at it from outside. */
#pragma once

#include "standins/proxyinstance.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jackdawdoor::standins {

/** Ready when constructed: the first configuration is in force and the upstreams are known, as "u1" and so on. */
struct InstanceFixture {
    explicit InstanceFixture(const std::vector<const ScriptedUpstream *> &upstreams)
    {
        putConfiguration(store, 1);
        int number = 0;
        for (const ScriptedUpstream *upstream : upstreams) {
            putUpstream(store, "u" + std::to_string(++number), upstream->address(), 1);
        }
        instance = std::make_unique<ProxyInstance>(store);
        REQUIRE_MESSAGE(instance->waitForVersion(1), "the configuration is not in force");
        REQUIRE_MESSAGE(instance->waitForUpstreams(upstreams.size()), "the instance does not know the upstreams");
    }

    /** False if the instance has not stopped by then. */
    bool waitUntilStopped(Duration time) const
    {
        const TimePoint end = net::now() + time;
        while (!instance->stopped() && net::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return instance->stopped();
    }

    PlatformStore store;
    std::unique_ptr<ProxyInstance> instance;
};

} // namespace jackdawdoor::standins
