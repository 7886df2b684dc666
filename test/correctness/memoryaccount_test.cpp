/** Memory account, choice of the requests that end when memory is short, shares of descriptors. */
#include "limits/callershare.h"
#include "limits/memoryaccount.h"
#include "limits/memorypressure.h"

#include <doctest/doctest.h>

#include <vector>

using namespace jackdawdoor;
using limits::MemoryHolder;
using limits::MemoryKind;
using limits::MemoryPhase;
using limits::MemoryRelief;
using limits::MemoryReliefStep;
using limits::MemoryUser;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;
const TimePoint start{std::chrono::seconds{1000}};

TimePoint at(double seconds)
{
    return start + fromSeconds(seconds);
}

MemoryHolder holder(std::uint64_t id, MemoryPhase phase, double began, double progressed)
{
    return {id, phase, megabyte, at(began), at(progressed), std::nullopt};
}

MemoryHolder waiting(std::uint64_t id, double began, double since)
{
    return {id, MemoryPhase::Receiving, megabyte, at(began), at(since), at(since)};
}

} // namespace

// Guards against large uploads that leave no memory for ordinary requests and for the answers of those that run.
TEST_CASE("large requests leave memory to small ones, and these to answers")
{
    limits::MemoryAccount account({100 * megabyte, 20 * megabyte});
    account.take(MemoryKind::RequestBody, 80 * megabyte);
    CHECK_FALSE(account.available(1, MemoryUser::LargeRequest));
    CHECK(account.available(10 * megabyte, MemoryUser::SmallRequest));
    CHECK_FALSE(account.available(10 * megabyte + 1, MemoryUser::SmallRequest));
    CHECK(account.available(20 * megabyte, MemoryUser::Answer));
    CHECK_FALSE(account.available(20 * megabyte + 1, MemoryUser::Answer));
    CHECK(account.shortage() == 0);
    account.take(MemoryKind::Answer, 30 * megabyte);
    CHECK(account.shortage() == 30 * megabyte);
    CHECK_FALSE(account.available(1, MemoryUser::Answer));
    CHECK(account.used(MemoryKind::Answer) == 30 * megabyte);
}

// Guards against an account that fills up over time.
TEST_CASE("a reservation gives back exactly what it took")
{
    const auto account = std::make_shared<limits::MemoryAccount>();
    {
        limits::MemoryReservation first(account, MemoryKind::Input, 100);
        limits::MemoryReservation second(std::move(first));
        first = limits::MemoryReservation(account, MemoryKind::Answer, 7);
        second.resize(250);
        CHECK(account->used(MemoryKind::Input) == 250);
        second.resize(30);
        CHECK(account->used() == 37);
        second = std::move(first);
        CHECK(account->used() == 7);
    }
    CHECK(account->used() == 0);
    limits::MemoryReservation(nullptr, MemoryKind::Input, 5).resize(9);
}

// Guards against a machine on which a request of the largest legal size is refused in calm, or whose limit exceeds its memory.
TEST_CASE("the limits fit the machine")
{
    for (const std::size_t machine : {160 * megabyte, 260 * megabyte, 4096 * megabyte}) {
        const limits::MemoryLimits found = limits::memoryLimitsFor(machine);
        CHECK(found.total <= machine - 40 * megabyte);
        CHECK(limits::MemoryAccount(found).available(64 * megabyte, MemoryUser::LargeRequest));
    }
    CHECK(limits::memoryLimitsFor(0) == limits::MemoryLimits{});
    CHECK(limits::memoryLimitsFor(megabyte).total > 0);
}

// Guards against refusing requests that progress while others only hold memory.
TEST_CASE("a body that has stopped for longest is closed first, and no more than needed")
{
    const std::vector<MemoryHolder> holders{holder(1, MemoryPhase::Receiving, 0, 5),
                                            holder(2, MemoryPhase::Receiving, 0, 3),
                                            holder(3, MemoryPhase::Receiving, 0, 9),
                                            holder(4, MemoryPhase::Answering, 0, 1),
                                            holder(5, MemoryPhase::Running, 0, 0),
                                            waiting(6, 8, 9.5)};
    const std::vector<MemoryReliefStep> one{{2, MemoryRelief::CloseStopped}};
    CHECK(limits::relieveMemory(at(10), {megabyte, 0}, holders) == one);
    const std::vector<MemoryReliefStep> three{
        {2, MemoryRelief::CloseStopped}, {1, MemoryRelief::CloseStopped}, {4, MemoryRelief::AbortUnread}};
    CHECK(limits::relieveMemory(at(10), {2 * megabyte + 1, 0}, holders) == three);
    CHECK(limits::relieveMemory(at(10), {}, holders).empty());
}

// Guards against requests that wait for each other's memory until their callers give up.
TEST_CASE("if nothing has stopped, the newest request that has waited too long is refused")
{
    const std::vector<MemoryHolder> holders{waiting(1, 0, 1), waiting(2, 4, 5), waiting(3, 9, 9.5), holder(4, MemoryPhase::Running, 9, 9)};
    const std::vector<MemoryReliefStep> expected{{2, MemoryRelief::Refuse}};
    CHECK(limits::relieveMemory(at(10), {3 * megabyte, 0}, holders) == expected);
    CHECK_MESSAGE(limits::relieveMemory(at(2.9), {megabyte, 0}, {waiting(1, 0, 1)}).empty(), "a request was refused too early");
}

// Guards against requests that run being lost while requests that can still be refused hold memory.
TEST_CASE("requests that run are ended last, and only for an overdraft")
{
    const std::vector<MemoryHolder> holders{
        holder(1, MemoryPhase::Running, 0, 0), holder(2, MemoryPhase::Running, 5, 5), waiting(3, 9, 9.9)};
    const std::vector<MemoryReliefStep> refused{{3, MemoryRelief::Refuse}};
    CHECK(limits::relieveMemory(at(10), {0, megabyte}, holders) == refused);
    const std::vector<MemoryReliefStep> both{{3, MemoryRelief::Refuse}, {2, MemoryRelief::AbortRunning}};
    CHECK(limits::relieveMemory(at(10), {0, megabyte + 1}, holders) == both);
    CHECK(limits::relieveMemory(at(10), {megabyte, 0}, holders).empty());
    const std::vector<MemoryHolder> receiving{holder(1, MemoryPhase::Running, 9, 9), holder(2, MemoryPhase::Receiving, 8, 9.9)};
    const std::vector<MemoryReliefStep> received{{2, MemoryRelief::Refuse}};
    CHECK_MESSAGE(limits::relieveMemory(at(10), {0, megabyte}, receiving) == received, "a request that runs was ended first");
}

// Guards against requests that run being ended for input that no request has begun to use.
TEST_CASE("pipelined input is dropped, the largest first, before requests are refused or ended")
{
    std::vector<MemoryHolder> holders{holder(1, MemoryPhase::Running, 0, 0),
                                      holder(2, MemoryPhase::Running, 5, 5),
                                      holder(3, MemoryPhase::Receiving, 9, 9.9),
                                      holder(4, MemoryPhase::Running, 7, 7)};
    holders[0].inputBytes = megabyte / 2;
    holders[3].inputBytes = megabyte;
    const std::vector<MemoryReliefStep> largest{{4, MemoryRelief::DropInput}};
    CHECK(limits::relieveMemory(at(10), {0, megabyte}, holders) == largest);
    CHECK_MESSAGE(limits::relieveMemory(at(10), {megabyte, 0}, holders).empty(), "input was dropped for a request that may wait");
    const std::vector<MemoryReliefStep> all{
        {4, MemoryRelief::DropInput}, {1, MemoryRelief::DropInput}, {3, MemoryRelief::Refuse}, {4, MemoryRelief::AbortRunning}};
    CHECK(limits::relieveMemory(at(10), {0, 3 * megabyte}, {holders[0], holders[1], holders[2], holders[3]}) == all);
}

// Guards against callers that use up the descriptors that upstreams and the process itself need.
TEST_CASE("callers get a share of the descriptors")
{
    const limits::DescriptorShares shares = limits::descriptorSharesFor(4100);
    CHECK(shares == limits::DescriptorShares{});
    constexpr std::size_t otherPorts = 3;
    constexpr std::size_t storeCalls = 100;
    CHECK(2 * shares.callers + shares.idleUpstreams + shares.directory + otherPorts * shares.calls + storeCalls <= 3900);
    CHECK(limits::descriptorSharesFor(100).callers > 0);
}

// Guards against closing a connection in use while an idle one remains, and against refusing connections without need.
TEST_CASE("a new connection replaces the longest idle one, else the one that stands still")
{
    using State = limits::ConnectionState;
    const State busy{1, State::Phase::Busy, at(0)};
    const State fresh{2, State::Phase::Receiving, at(9.5)};
    const State stalled{3, State::Phase::Receiving, at(2)};
    const State older{4, State::Phase::Receiving, at(1)};
    const State idle{5, State::Phase::Idle, at(8)};
    const State longer{6, State::Phase::Idle, at(7)};
    const State closing{7, State::Phase::Closing, at(9)};
    CHECK(limits::connectionToClose(at(10), {busy, stalled, idle, longer, closing}) == 7U);
    CHECK(limits::connectionToClose(at(10), {busy, fresh, stalled, older, idle, longer}) == 6U);
    CHECK(limits::connectionToClose(at(10), {busy, fresh, stalled, older}) == 4U);
    CHECK(limits::connectionToClose(at(10), {busy, fresh}) == std::nullopt);
}
