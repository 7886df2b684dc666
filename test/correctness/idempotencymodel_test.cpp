/** Guards against duplicate runs and false "not run" answers under resends, message faults, crashes, pauses and stops. */
#include "idempotencyfleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace jackdawdoor;
using namespace jackdawdoor::idempotency;
using namespace jackdawdoor::idempotency::model;

namespace {

constexpr int cases = 100; // rapidcheck's default number of cases
constexpr int schedulesPerCase = 100;

KeyLimits limitsOfModel(std::size_t entries)
{
    KeyLimits limits;
    limits.maximumEntries = entries;
    limits.maximumIssuers = 3; // below the number of issuers, so that evictions happen
    limits.expiryMargin = 1000 * ms;
    limits.handoverTimeout = 2000 * ms;
    limits.chunkEntries = 2;
    limits.closedFilterBits = 256;
    return limits;
}

Tally runSchedules(std::uint64_t seed, int count, bool naive, bool faults)
{
    Tally tally;
    for (int index = 0; index < count; ++index) {
        const bool tight = faults && index % 4 == 0;
        Plan plan{seed + static_cast<std::uint64_t>(index), naive, faults, tight, limitsOfModel(tight ? 3 : 1000)};
        plan.limits.maximumStoredBytes = tight ? 9 : plan.limits.maximumStoredBytes; // two answers
        Fleet(plan, tally).run();
    }
    return tally;
}

} // namespace

TEST_CASE("no key runs twice and \"not run\" is always true over 10,000 fault schedules")
{
    Tally total;
    int runs = 0;
    const bool passed = rc::check("invariants of the idempotency protocol", [&] {
        const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
        const Tally tally = runSchedules(seed, schedulesPerCase, false, true);
        RC_ASSERT(tally.duplicateRuns == 0);
        RC_ASSERT(tally.falseNotRun == 0);
        RC_ASSERT(tally.wrongAnswers == 0);
        RC_ASSERT(tally.unanswered == 0);
        RC_ASSERT(tally.overfull == 0);
        total.completed += tally.completed;
        total.notRun += tally.notRun;
        total.unknown += tally.unknown;
        total.handedOver += tally.handedOver;
        total.closedByWitness += tally.closedByWitness;
        total.resumed += tally.resumed;
        ++runs;
    });
    CHECK_MESSAGE(passed, "an invariant of the idempotency protocol was broken");
    CHECK_MESSAGE(runs >= cases, "fewer schedules were run than stated");
    CHECK_MESSAGE(total.completed > cases, "hardly any work completed, so little was tested");
    CHECK_MESSAGE(total.handedOver > cases, "planned stops were not exercised");
    CHECK_MESSAGE(total.closedByWitness > cases, "closing by the witness was not exercised");
    CHECK_MESSAGE(total.resumed > cases, "pauses were not exercised");
    MESSAGE("answers: completed ", total.completed, ", not run ", total.notRun, ", unknown ", total.unknown);
    MESSAGE("handovers ", total.handedOver, ", closed by witness ", total.closedByWitness, ", pauses ", total.resumed);
}

TEST_CASE("the schedules catch a home without a witness")
{
    const Tally naive = runSchedules(20261204, 200, true, true);
    CHECK_MESSAGE(naive.duplicateRuns > 0, "the naive home never ran work twice: the schedules are too weak");
    CHECK_MESSAGE(naive.falseNotRun > 0, "the naive home never answered \"not run\" wrongly: the schedules are too weak");
    MESSAGE("naive home in 200 schedules: duplicate runs ", naive.duplicateRuns, ", false \"not run\" ", naive.falseNotRun);
}

TEST_CASE("without faults every answer arrives and no stale entry remains")
{
    const Tally faultFree = runSchedules(7, 200, false, false);
    CHECK_MESSAGE(faultFree.duplicateRuns + faultFree.falseNotRun + faultFree.wrongAnswers == 0,
                  "an invariant was broken without any fault");
    CHECK_MESSAGE(faultFree.unanswered == 0, "work stayed without an answer although nothing failed");
    CHECK_MESSAGE(faultFree.overfull == 0, "a key table kept entries after their tickets had expired");
}

TEST_CASE("a handover over a lossy network leaves the witness with every outcome")
{
    RandomSource random(20261204);
    const InstanceRef self{InstanceId{"home"}, 1};
    const InstanceRef peer{InstanceId{"witness"}, 1};
    KeyLimits limits = limitsOfModel(100);
    limits.handoverTimeout = std::chrono::minutes{1};
    HomeKeys home(self, limits);
    WitnessKeys witness(peer, limits);
    TicketIssuer issuer(self, TimePoint{}, [](std::string_view) {
        return std::string("authenticator");
    });
    std::vector<IdempotencyKey> keys;
    TimePoint now;
    for (int index = 0; index < 100; ++index) {
        keys.push_back(
            {issuer.issue(now, self, peer, ServiceId{"customer/service"}, std::chrono::minutes{1}), "n" + std::to_string(index)});
        const std::string text = keys.back().encode();
        home.admit(now, keys.back(), 1);
        // Only the record gets through; all updates are lost.
        home.onMessage(now, peer, witness.onMessage(now, self, Record{keys.back(), 1}).front().message);
        REQUIRE(home.startDispatch(now, text));
        index % 3 == 0 ? home.recordNotRun(now, text, NotRunAction::LeaveOpen) : home.recordCompleted(now, text, {200, "", text, true});
    }
    HomeStep step = home.beginStop(now);
    while (home.stopProgress() == StopProgress::HandingOver) {
        for (const auto &message : step.messages) {
            for (int copy = 0; uniform(random) < 0.6 && copy < 3; ++copy) {
                for (const auto &answer : witness.onMessage(now, self, message.message)) {
                    uniform(random) < 0.6 ? home.onMessage(now, peer, answer.message) : HomeStep{};
                }
            }
        }
        now += 10 * ms;
        step = home.onTick(now);
    }
    REQUIRE_MESSAGE(home.stopProgress() == StopProgress::HandedOver, "the handover did not finish although the witness answers");
    CHECK_MESSAGE(witness.hasCompleteHandover(self), "the home reports a complete handover that the witness has not completed");
    const InstanceRef asker{InstanceId{"asker"}, 1};
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const IdempotencyMessage answer = witness.onMessage(now, asker, Close{keys[index]}).front().message;
        if (index % 3 == 0) {
            CHECK_MESSAGE(std::holds_alternative<Closed>(answer), "a key that was left open is not closed by the stop");
        } else {
            REQUIRE_MESSAGE(std::holds_alternative<Reply>(answer), "the witness closed a completed key");
            CHECK_MESSAGE(std::get<Reply>(answer).outcome.answer.body == keys[index].encode(), "a stored answer was lost in the handover");
        }
    }
    const Ticket late = issuer.issue(now, self, peer, ServiceId{"customer/service"}, std::chrono::minutes{1});
    const IdempotencyMessage unseen = witness.onMessage(now, asker, Close{{late, "late"}}).front().message;
    CHECK_MESSAGE(std::holds_alternative<Closed>(unseen),
                  "after a complete handover the witness does not close a key that was not handed over");
    CHECK_MESSAGE(witness.size() == keys.size(), "closing a key of a home that has handed over adds an entry");
}
