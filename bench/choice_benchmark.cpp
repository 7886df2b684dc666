/** Processor time of the choice of an upstream, by the number of upstreams of the service. */
#include "fleet/upstreamchoice.h"

#include <benchmark/benchmark.h>

#include <string>

namespace {

using namespace jackdawdoor;

const TimePoint start{std::chrono::hours{1}};

fleet::UpstreamTable tableOf(int upstreams)
{
    std::vector<fleet::UpstreamEntry> entries;
    for (int number = 0; number < upstreams; ++number) {
        fleet::UpstreamEntry entry;
        entry.id = UpstreamId{"upstream-" + std::to_string(number)};
        entry.service = ServiceId{"service"};
        entry.dataCentre = DataCentreId{"dc-" + std::to_string(number % 3)};
        entry.slots = 6;
        entries.push_back(entry);
    }
    fleet::UpstreamTable table;
    table.setEntries(start, entries);
    return table;
}

void chooseAndAnswer(benchmark::State &state)
{
    fleet::UpstreamTable table = tableOf(static_cast<int>(state.range(0)));
    RandomSource random(1);
    fleet::ChoiceRequest request;
    request.service = ServiceId{"service"};
    request.dataCentre = DataCentreId{"dc-0"};
    request.requestsPerSecond = 84;
    request.floorShare = 0.73;
    TimePoint now = start;
    for (auto iteration : state) {
        now += std::chrono::milliseconds{12};
        const fleet::UpstreamChoice choice = fleet::chooseUpstream(now, table, request, random);
        benchmark::DoNotOptimize(choice.upstream);
        static_cast<void>(table.beginAttempt(now, *choice.upstream));
        table.endAttempt(now, choice.upstream->entry.id, 0, fleet::AttemptOutcome::Answered, std::chrono::milliseconds{460});
    }
}

} // namespace

BENCHMARK(chooseAndAnswer)->Arg(21)->Arg(100)->Arg(619);

BENCHMARK_MAIN();
