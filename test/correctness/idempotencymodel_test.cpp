/** Guards against duplicate runs and false "not run" answers under resends, message faults, crashes, pauses and stops. */
#include "idempotencyfleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

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
        Plan plan{seed + static_cast<std::uint64_t>(index), naive, faults, limitsOfModel(faults && index % 4 == 0 ? 3 : 1000)};
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
    CHECK_MESSAGE(total.completed > cases, "hardly any work completed, so the schedules prove little");
    CHECK_MESSAGE(total.handedOver > cases, "planned stops were not exercised");
    CHECK_MESSAGE(total.closedByWitness > cases, "closing by the witness was not exercised");
    CHECK_MESSAGE(total.resumed > cases, "pauses were not exercised");
    MESSAGE("answers: completed ", total.completed, ", not run ", total.notRun, ", unknown ", total.unknown);
    MESSAGE("handovers ", total.handedOver, ", closed by witness ", total.closedByWitness, ", pauses ", total.resumed);
}

TEST_CASE("the schedules catch a home without a witness")
{
    const Tally naive = runSchedules(20261204, 200, true, true);
    CHECK_MESSAGE(naive.duplicateRuns > 0, "the naive home never ran work twice: the schedules are too mild");
    CHECK_MESSAGE(naive.falseNotRun > 0, "the naive home never said \"not run\" wrongly: the schedules are too mild");
    MESSAGE("naive home in 200 schedules: duplicate runs ", naive.duplicateRuns, ", false \"not run\" ", naive.falseNotRun);
}

TEST_CASE("without faults every answer arrives and no stale entry remains")
{
    const Tally calm = runSchedules(7, 200, false, false);
    CHECK_MESSAGE(calm.duplicateRuns + calm.falseNotRun + calm.wrongAnswers == 0, "an invariant was broken without any fault");
    CHECK_MESSAGE(calm.unanswered == 0, "work stayed without an answer although nothing failed");
    CHECK_MESSAGE(calm.overfull == 0, "a key table kept entries after their tickets had expired");
}
