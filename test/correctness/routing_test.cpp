/** Checks that requests are sent only to allowed upstreams, and that each decision lists its reasons. */
#include "limits/slotmessage.h"
#include "routing/chooseupstream.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace jackdawdoor;
using namespace jackdawdoor::routing;
using health::Standing;

namespace {

RoutingCandidate arbitraryCandidate(std::size_t index)
{
    RoutingCandidate candidate;
    candidate.upstream = UpstreamId{"u" + std::to_string(index)};
    candidate.state.standing = *rc::gen::element(Standing::Healthy,
                                                 Standing::Healthy,
                                                 Standing::Suspect,
                                                 Standing::Ejected,
                                                 Standing::Probation,
                                                 Standing::Ramping,
                                                 Standing::Cold,
                                                 Standing::Draining,
                                                 Standing::Leaving);
    candidate.state.trialDue = candidate.state.standing == Standing::Probation;
    candidate.state.checkDue = candidate.state.standing == Standing::Suspect && *rc::gen::arbitrary<bool>();
    candidate.state.preferred = *rc::gen::arbitrary<bool>();
    candidate.state.share = candidate.state.standing == Standing::Ramping ? 0.3 : 1;
    candidate.state.inProgress = *rc::gen::inRange(0, 4);
    candidate.state.idleTime = std::chrono::milliseconds{*rc::gen::inRange(0, 300)};
    candidate.freeSlots = *rc::gen::inRange(0, 3);
    candidate.expectedLatency = std::chrono::milliseconds{*rc::gen::inRange(1, 100)};
    return candidate;
}

bool mayServe(const RoutingCandidate &candidate, const RoutingRequest &request)
{
    const auto standing = candidate.state.standing;
    const bool out = standing == Standing::Ejected || standing == Standing::Probation;
    const bool going = standing == Standing::Draining || standing == Standing::Leaving;
    const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), candidate.upstream) != request.excluded.end();
    return !out && !going && !excluded && candidate.freeSlots > 0;
}

} // namespace

TEST_CASE("a choice is allowed, is made if one is possible, and lists every other candidate")
{
    CHECK_MESSAGE(rc::check("choices of an upstream",
                            [](std::uint64_t seed) {
                                RandomSource random{seed};
                                std::vector<RoutingCandidate> candidates;
                                const auto count = *rc::gen::inRange<std::size_t>(0, 10);
                                candidates.reserve(count);
                                RoutingRequest request;
                                request.idempotent = *rc::gen::arbitrary<bool>();
                                for (std::size_t index = 0; index < count; ++index) {
                                    candidates.push_back(arbitraryCandidate(index));
                                    if (*rc::gen::inRange(0, 5) == 0) {
                                        request.excluded.push_back(candidates.back().upstream);
                                    }
                                }
                                const auto decision = chooseUpstream(TimePoint{}, request, candidates, random);
                                const bool possible = std::any_of(candidates.begin(), candidates.end(), [&request](const auto &candidate) {
                                    return mayServe(candidate, request);
                                });
                                RC_ASSERT(decision.choice.has_value() || !possible);
                                std::set<std::size_t> named;
                                for (const auto &passed : decision.passedOver) {
                                    named.insert(passed.candidate);
                                }
                                RC_ASSERT(named.size() == count - (decision.choice ? 1 : 0));
                                if (!decision.choice) {
                                    return;
                                }
                                const auto &chosen = candidates[*decision.choice];
                                RC_ASSERT(named.count(*decision.choice) == 0U);
                                if (decision.kind == health::AttemptKind::Trial) {
                                    RC_ASSERT(request.idempotent);
                                    RC_ASSERT(chosen.state.trialDue);
                                    RC_ASSERT(chosen.freeSlots > 0);
                                    return;
                                }
                                RC_ASSERT(mayServe(chosen, request));
                                const bool better = std::any_of(candidates.begin(), candidates.end(), [&request](const auto &candidate) {
                                    return mayServe(candidate, request) && candidate.state.standing != Standing::Suspect
                                           && candidate.state.share == 1;
                                });
                                const bool suspect = chosen.state.standing == Standing::Suspect;
                                RC_ASSERT(!suspect || !better || (request.idempotent && chosen.state.checkDue));
                            }),
                  "a request was sent to an upstream that must not receive it");
}

TEST_CASE("slot messages survive a round trip, and malformed ones are rejected")
{
    const limits::SlotDemand demand{ServiceId{"c/s"}, 7, 3, 2, {{0, 4, 3, 5}, {2, 0, 0, 1}}};
    CHECK_MESSAGE(nlohmann::json(demand).get<limits::SlotDemand>() == demand, "a demand changed in the round trip");
    const limits::SlotGrant grant{ServiceId{"c/s"}, 7, 3, 9, std::chrono::seconds{2}, {{0, 4}}};
    CHECK_MESSAGE(nlohmann::json(grant).get<limits::SlotGrant>() == grant, "a grant changed in the round trip");
    CHECK_THROWS_AS(nlohmann::json::parse("[\"c/s\",7,3]").get<limits::SlotDemand>(), nlohmann::json::exception);
}
