/* Scaling of time, memory and wire bytes per member, customer, upstream, key and message, for docs/CAPACITY.md.
 *
 * Each benchmark runs at several sizes. The BigO row is the slope of a linear fit and the RMS row its error.
 */
#include "configuration/versiontable.h"
#include "core/contractcompiler.h"
#include "core/instance.h"
#include "core/peermessage.h"
#include "core/servicecoordinator.h"
#include "countedheap.h"
#include "fakes/fakelog.h"
#include "idempotency/homekeys.h"
#include "idempotency/ticketissuer.h"
#include "idempotency/witnesskeys.h"
#include "membership/membership.h"
#include "placement/placecaller.h"
#include "routing/chooseupstream.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <new>

namespace {

std::atomic<std::size_t> liveBytes{0};

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    liveBytes += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    liveBytes -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

std::size_t jackdawdoor::bench::heapBytes()
{
    return liveBytes;
}

using namespace jackdawdoor;

namespace {

constexpr TimePoint start{std::chrono::hours{1}};

membership::Member member(std::int64_t number)
{
    const std::string name = std::to_string(number);
    return {{InstanceId{"entry-" + name}, 1000},
            "10.0.0.1:" + name,
            DataCentreId{"dc-" + std::to_string(number % 17)},
            membership::MemberState::Live,
            "10.0.0.1:8" + name};
}

membership::InstanceList listOf(std::int64_t members)
{
    membership::InstanceList list;
    for (std::int64_t number = 0; number < members; ++number) {
        const membership::Member one = member(number);
        list.instances.push_back({one.ref.id, one.address, one.dataCentre, false});
    }
    return list;
}

membership::MembershipViewPointer viewOf(std::int64_t members, std::uint64_t epoch)
{
    auto view = std::make_shared<membership::MembershipView>();
    view->self = member(0).ref;
    for (std::int64_t number = 0; number < members; ++number) {
        view->members.push_back(member(number));
    }
    std::sort(view->members.begin(), view->members.end(), [](const auto &left, const auto &right) {
        return left.ref.id < right.ref.id;
    });
    view->epoch = epoch;
    view->listed = view->visible = static_cast<std::size_t>(members);
    return view;
}

std::string contractText(const std::string &customer, std::int64_t upstreams)
{
    std::string text = R"({"customer":")" + customer
                       + R"(","weight":"detection-time","services":[{"name":"s","peakRequestsPerSecond":300,"healthyFloor":1,)"
                         R"("upstreamDefaults":{"slots":6,"connections":400,"dataCentre":"dc-0"},"upstreams":[)";
    for (std::int64_t number = 0; number < upstreams; ++number) {
        text += (number > 0 ? "," : "") + (R"({"name":"u)" + std::to_string(number)) + R"(","address":"127.1.)"
                + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + R"(:8080"})";
    }
    return text
           + R"(],"operations":[{"name":"read","method":"GET","pathPrefix":"/r","idempotent":true,"usefulWithin":"1s","largestRequest":"8KiB","largestAnswer":"1MiB"}]}]})";
}

contract::CustomerPolicy policyOf(std::int64_t upstreams)
{
    return core::compileContract(contractText("c", upstreams)).value();
}

void membershipTick(benchmark::State &state)
{
    RandomSource random(1);
    const std::size_t before = bench::heapBytes();
    membership::Membership table(member(0), random);
    table.onInstanceList(start, listOf(state.range(0)));
    TimePoint now = start;
    for (auto _ : state) {
        now += core::tickPeriod;
        benchmark::DoNotOptimize(table.onTick(now));
    }
    state.counters["bytes_per_member"] = static_cast<double>(bench::heapBytes() - before) / static_cast<double>(state.range(0));
    state.SetComplexityN(state.range(0));
}

void placementAnswer(benchmark::State &state)
{
    const contract::CustomerPolicy policy = policyOf(36);
    placement::PlacementTable table(viewOf(state.range(0), 1));
    std::uint64_t caller = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(placement::placeCaller(table, policy.services.front(), std::to_string(++caller)));
    }
    state.SetComplexityN(state.range(0));
}

/** Ranks one new service over all members. */
void placementRanking(benchmark::State &state)
{
    placement::PlacementTable table(viewOf(state.range(0), 1));
    std::uint64_t service = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.coordinator(ServiceId{"c/" + std::to_string(++service)}));
    }
    state.SetComplexityN(state.range(0));
}

/** A member leaves and returns, which makes two view changes, while 2,800 services are ranked. */
void placementViewChange(benchmark::State &state)
{
    placement::PlacementTable table(viewOf(state.range(0), 1));
    constexpr int services = 2800;
    for (int service = 0; service < services; ++service) {
        table.coordinator(ServiceId{"c/" + std::to_string(service)});
    }
    const auto all = viewOf(state.range(0), 1);
    std::uint64_t epoch = 1;
    for (auto _ : state) {
        auto without = std::make_shared<membership::MembershipView>(*all);
        without->members[1].state = membership::MemberState::Failed;
        without->epoch = ++epoch;
        table.update(without);
        auto with = std::make_shared<membership::MembershipView>(*all);
        with->epoch = ++epoch;
        table.update(with);
    }
    state.SetComplexityN(state.range(0));
}

/** Memory per customer contract with 36 upstreams, by number of customers. */
void configurationApply(benchmark::State &state)
{
    for (auto _ : state) {
        state.PauseTiming();
        configuration::LogPage page;
        page.nextOffset = static_cast<std::uint64_t>(state.range(0));
        page.retention = std::chrono::hours{24};
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            const std::string customer = "c" + std::to_string(number);
            const configuration::Publish publish{CustomerId{customer}, "p" + std::to_string(number), 0, contractText(customer, 36)};
            page.entries.push_back({static_cast<std::uint64_t>(number), Duration{0}, configuration::encodeRecord(publish)});
        }
        const std::size_t before = bench::heapBytes();
        auto table = std::make_unique<configuration::VersionTable>(core::compileContract);
        state.ResumeTiming();
        benchmark::DoNotOptimize(table->applyPage(start, page));
        state.PauseTiming();
        state.counters["bytes_per_customer"] = static_cast<double>(bench::heapBytes() - before) / static_cast<double>(state.range(0));
        table.reset();
        state.ResumeTiming();
    }
    state.SetComplexityN(state.range(0));
}

core::ServiceReport reportOf(const contract::ServicePolicy &policy)
{
    core::ServiceReport report;
    report.demand.service = policy.id;
    report.demand.policyVersion = 1;
    report.evidence.service = policy.id;
    report.evidence.policyVersion = 1;
    for (std::uint32_t index = 0; index < policy.upstreams.size(); ++index) {
        report.demand.targets.push_back({index, 0, 0, 2});
    }
    return report;
}

/** Processing of one holder's report at the coordinator with ten holders, by number of upstreams of the service. */
void coordinatorReport(benchmark::State &state)
{
    const auto policy = std::make_shared<const contract::CustomerPolicy>(policyOf(state.range(0)));
    const contract::ServicePolicy &service = policy->services.front();
    core::ServiceCoordinator coordinator(start, policy, service, 1);
    coordinator.onTick(start, 48, 48);
    TimePoint now = start + std::chrono::seconds{5};
    core::ServiceReport report = reportOf(service);
    std::uint64_t sequence = 0;
    core::ServiceUpdate update;
    for (auto _ : state) {
        report.demand.sequence = ++sequence;
        now += std::chrono::milliseconds{50};
        update = coordinator.onReport(now, InstanceRef{InstanceId{"entry-" + std::to_string(sequence % 10)}, 1}, report);
    }
    state.counters["report_bytes"] = static_cast<double>(core::encodePeerMessage(report).size());
    state.counters["update_bytes"] = static_cast<double>(core::encodePeerMessage(update).size());
    state.SetComplexityN(state.range(0));
}

/** Upstream choice, dispatch and result of one request, by number of upstreams of the service. */
void requestDecision(benchmark::State &state)
{
    const contract::CustomerPolicy policy = policyOf(state.range(0));
    const contract::ServicePolicy &service = policy.services.front();
    RandomSource random(1);
    health::LocalHealth local(service, InstanceId{"entry-0"}, 1);
    TimePoint now = start;
    std::uint64_t attempt = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds{5};
        std::vector<routing::RoutingCandidate> candidates;
        for (const contract::UpstreamPolicy &upstream : service.upstreams) {
            candidates.push_back(
                {upstream.id, local.stateOf(now, upstream.id), 6, local.expectedLatency(service.operations.front().id, upstream.id)});
        }
        const auto decision = routing::chooseUpstream(now, {service.operations.front().id, true, {}}, candidates, random);
        const UpstreamId &upstream = candidates[decision.choice.value_or(0)].upstream;
        local.attemptStarted(now, upstream, ++attempt, service.operations.front().id, decision.kind, false);
        health::Observation observation{upstream,
                                        service.operations.front().id,
                                        attempt,
                                        health::OutcomeKind::Success,
                                        std::chrono::milliseconds{20},
                                        false,
                                        decision.kind};
        benchmark::DoNotOptimize(local.record(now + std::chrono::milliseconds{4}, observation));
    }
    state.SetComplexityN(state.range(0));
}

/** Admits, confirms, runs and stores keys at the home instance, with 200-byte answers. */
void homeKey(benchmark::State &state)
{
    const InstanceRef home{InstanceId{"home"}, 1};
    const InstanceRef witness{InstanceId{"witness"}, 1};
    idempotency::TicketIssuer issuer(home, start, [](std::string_view) {
        return std::string(32, 'a');
    });
    for (auto _ : state) {
        const std::size_t before = bench::heapBytes();
        auto keys = std::make_unique<idempotency::HomeKeys>(home, idempotency::KeyLimits{});
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            const idempotency::IdempotencyKey key{issuer.issue(start, home, witness, ServiceId{"c/s"}, std::chrono::minutes{5}), "n"};
            benchmark::DoNotOptimize(keys->admit(start, key, 7));
            benchmark::DoNotOptimize(keys->onMessage(start, witness, idempotency::Recorded{key}));
            keys->startDispatch(start, key.encode());
            keys->recordCompleted(start, key.encode(), {200, "application/json", std::string(200, 'x'), true});
        }
        state.counters["bytes_per_key"] = static_cast<double>(bench::heapBytes() - before) / static_cast<double>(state.range(0));
    }
    state.SetComplexityN(state.range(0));
}

void peerMessageCodec(benchmark::State &state)
{
    const contract::CustomerPolicy policy = policyOf(state.range(0));
    const core::PeerMessage message = reportOf(policy.services.front());
    for (auto _ : state) {
        benchmark::DoNotOptimize(core::decodePeerMessage(core::encodePeerMessage(message)));
    }
    state.SetComplexityN(state.range(0));
}

} // namespace

BENCHMARK(membershipTick)->Arg(48)->Arg(480)->Arg(4100)->Complexity(benchmark::oN);
BENCHMARK(placementAnswer)->Arg(48)->Arg(480)->Arg(4100)->Complexity(benchmark::oN);
BENCHMARK(placementRanking)->Arg(48)->Arg(480)->Arg(4100)->Complexity(benchmark::oN);
BENCHMARK(placementViewChange)->Arg(48)->Arg(480)->Arg(4100)->Complexity(benchmark::oN)->Unit(benchmark::kMicrosecond);
BENCHMARK(configurationApply)->Arg(50)->Arg(200)->Arg(800)->Complexity(benchmark::oN)->Unit(benchmark::kMicrosecond);
BENCHMARK(coordinatorReport)->Arg(6)->Arg(36)->Arg(144)->Complexity(benchmark::oN);
BENCHMARK(requestDecision)->Arg(6)->Arg(36)->Arg(144)->Complexity(benchmark::oN);
BENCHMARK(homeKey)->Arg(500)->Arg(2000)->Arg(8000)->Complexity(benchmark::oN)->Unit(benchmark::kMicrosecond);
BENCHMARK(peerMessageCodec)->Arg(6)->Arg(36)->Arg(144)->Complexity(benchmark::oN);
BENCHMARK_MAIN();
