/** Placement of requests by many instances at the same time, in virtual time. */
#include "fleet/concurrentplacement.h"
#include "fleet/upstreamchoice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds{1000}};
const ServiceId service{"svc"};
const DataCentreId dataCentre{"dc"};

std::vector<UpstreamEntry> makeEntries(int count, int slots)
{
    std::vector<UpstreamEntry> entries;
    for (int index = 0; index < count; ++index) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u" + std::to_string(100 + index)};
        entry.service = service;
        entry.address = "127.0.0.1:1";
        entry.dataCentre = dataCentre;
        entry.incarnation = 1;
        entry.slots = slots;
        entries.push_back(entry);
    }
    return entries;
}

/** Answers of about that time from each upstream, so that none is new or doubted. */
void answerEach(UpstreamTable &table, const std::vector<UpstreamEntry> &entries, TimePoint now, Duration time)
{
    for (const UpstreamEntry &entry : entries) {
        table.beginAttempt(now, *table.find(entry.id, 1));
        table.endAttempt(now, entry.id, 1, AttemptOutcome::Answered, time);
    }
}

} // namespace

// Guards against the herd effect: instances with the same reports all preferred the same few upstreams, and a dozen requests
// met at one with two slots while most others were idle.
TEST_CASE("requests that twelve instances place between two reports do not meet at one upstream while others are idle")
{
    constexpr int instances = 12;
    constexpr int upstreams = 29;
    constexpr int slots = 2;
    constexpr double requestsPerSecond = 184;
    constexpr int requests = 46; // in a report period
    constexpr int seeds = 20;
    const std::vector<UpstreamEntry> entries = makeEntries(upstreams, slots);
    constexpr int placedInTime = 5; // two run, and three more end within three rounds of 94 ms, before the objective of 400 ms
    int late = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RandomSource random(seed);
        std::vector<UpstreamTable> tables(instances);
        for (UpstreamTable &table : tables) {
            table.setEntries(start, entries);
            answerEach(table, entries, start, milliseconds{94});
            // The first three have answered more often, so that all instances trust them most.
            for (int index = 0; index < 3; ++index) {
                table.find(entries[static_cast<std::size_t>(index)].id, 1)->grayEstimate.addSuccesses(start, 4);
            }
            for (int peer = 1; peer < instances; ++peer) {
                table.applyLoadReport(start, InstanceId{"i" + std::to_string(peer)}, {});
            }
        }
        ChoiceRequest request{service, routing::Repeatability::AtMostOnce, dataCentre, {}, requestsPerSecond, 0};
        request.objectiveLeft = milliseconds{400};
        std::map<UpstreamId, int> placed;
        for (int number = 0; number < requests; ++number) {
            UpstreamTable &table = tables[static_cast<std::size_t>(number % instances)];
            const UpstreamChoice choice = chooseUpstream(start, table, request, random);
            REQUIRE(choice.upstream != nullptr);
            table.beginAttempt(start, *choice.upstream);
            ++placed[choice.upstream->entry.id];
        }
        for (const auto &[id, count] : placed) {
            late += std::max(0, count - placedInTime);
        }
    }
    CHECK_MESSAGE(late * 100 <= seeds * requests * 5,
                  late << " of " << seeds * requests << " requests were placed where they would be late");
}

TEST_CASE("without unreported requests the lowest cost is chosen, and an upstream without room never is")
{
    RandomSource random(1);
    const auto cost = [](std::size_t upstream, int) -> std::optional<double> {
        return upstream == 0 ? std::nullopt : std::optional(static_cast<double>(upstream));
    };
    CHECK(placeConcurrently(3, 0, cost, random) == std::size_t{1});
    const auto full = [](std::size_t, int) -> std::optional<double> {
        return std::nullopt;
    };
    CHECK_FALSE(placeConcurrently(3, 10, full, random).has_value());
    CHECK(unreportedRequests(100, 0) == 0);
}

// Guards against a refusal for requests that are only assumed.
TEST_CASE("assumed requests of others fill upstreams in the order of their cost and do not refuse a request")
{
    RandomSource random(1);
    const auto cost = [](std::size_t upstream, int additional) -> std::optional<double> {
        return additional > 1 ? std::nullopt : std::optional(static_cast<double>(upstream) + 0.1 * additional);
    };
    std::map<std::size_t, int> chosen;
    for (int count = 0; count < 600; ++count) {
        const auto upstream = placeConcurrently(3, 5, cost, random);
        REQUIRE(upstream.has_value());
        ++chosen[*upstream];
    }
    for (std::size_t upstream = 0; upstream < 3; ++upstream) {
        CHECK_MESSAGE(std::abs(chosen[upstream] - 200) < 60, "upstream " << upstream << " got " << chosen[upstream] << " of 600");
    }
    CHECK(placeConcurrently(3, 500, cost, random).has_value());
}

// Guards against urgent requests that wait in a queue beyond their latency objective while another upstream has room.
TEST_CASE("a request leaves a trusted upstream whose queue would make it late, but not without an objective")
{
    UpstreamTable table;
    const std::vector<UpstreamEntry> entries = makeEntries(2, 2);
    table.setEntries(start, entries);
    answerEach(table, {entries[0]}, start, milliseconds{94});
    UpstreamRecord *trusted = table.find(entries[0].id, 1);
    trusted->grayEstimate.addSuccesses(start, 4);
    for (int count = 0; count < 4; ++count) {
        table.beginAttempt(start, *trusted);
    }
    UpstreamRecord *unproven = table.find(entries[1].id, 1);
    unproven->lastUsed = start;
    RandomSource random(1);
    ChoiceRequest request{service, routing::Repeatability::AtMostOnce, dataCentre, {}, 0, 0};
    CHECK_MESSAGE(chooseUpstream(start, table, request, random).upstream == trusted, "a request without an objective risks a failure");
    request.objectiveLeft = milliseconds{400};
    CHECK_MESSAGE(chooseUpstream(start, table, request, random).upstream == unproven, "a request waits until it is late");
}
