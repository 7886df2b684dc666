/** Answers of the core about an idempotency key must be true for every copy of the request. */
#include "publishedfleet.h"

#include <doctest/doctest.h>

using namespace jackdawdoor;
using fakes::CallerAnswer;
using test::PublishedFleet;

TEST_CASE("a resend runs when the caller of the first copy left before the witness had confirmed")
{
    // Guards against a key that stays permitted but undispatched: every resend would wait for a run that never starts.
    PublishedFleet published(6);
    published.fleet.run(std::chrono::seconds{3});
    std::size_t home = 0;
    const core::CallerRequest order = published.order("caller-1", home);
    const core::RequestId first = published.fleet.request(home, order, [](const CallerAnswer &) {});
    published.fleet.abandon(home, first);
    published.fleet.run(std::chrono::milliseconds{100});
    CallerAnswer result;
    published.fleet.request(home, order, [&result](const CallerAnswer &answer) {
        result = answer;
    });
    published.fleet.run(std::chrono::seconds{20});
    CHECK_MESSAGE(result.kind == CallerAnswer::Kind::Answered, "the resend was not answered: ", result.refusal.reason);
    CHECK_MESSAGE(published.fleet.runs[order.key] == 1, "the order did not run exactly once");
}

TEST_CASE("an instance without a contract does not answer \"not run\" for a key that has run elsewhere")
{
    // Guards against an instance that reports only on its own copy, so that the caller orders again under a new key.
    PublishedFleet published(6);
    published.fleet.run(std::chrono::seconds{3});
    std::size_t home = 0;
    const core::CallerRequest order = published.order("caller-1", home);
    published.fleet.request(home, order, [](const CallerAnswer &) {});
    published.fleet.run(std::chrono::seconds{1});
    REQUIRE_MESSAGE(published.fleet.runs[order.key] == 1, "the order did not run");
    const std::size_t other = (home + 1) % published.fleet.size();
    published.fleet.log.down = true;
    published.fleet.crash(other);
    published.fleet.restart(other);
    CallerAnswer result;
    published.fleet.request(other, order, [&result](const CallerAnswer &answer) {
        result = answer;
    });
    published.fleet.run(std::chrono::seconds{5});
    const bool saidNotRun = result.kind == CallerAnswer::Kind::Refused && result.refusal.disposition == core::Disposition::NotRun;
    CHECK_MESSAGE(!saidNotRun, "the order ran, and a resend was told that it did not: ", result.refusal.reason);
}

TEST_CASE("an outcome that the witness acknowledged is not sent to it again")
{
    // Guards against acknowledgements that do not reach the home's table: each stored answer would be sent four times.
    PublishedFleet published(6);
    published.fleet.run(std::chrono::seconds{3});
    std::size_t home = 0;
    const core::CallerRequest order = published.order("caller-1", home);
    constexpr std::size_t keyMessages = 2; // index of IdempotencyMessage in PeerMessage
    const std::uint64_t before = published.fleet.controlBytesByKind[keyMessages];
    published.fleet.request(home, order, [](const CallerAnswer &) {});
    published.fleet.run(std::chrono::seconds{10});
    REQUIRE_MESSAGE(published.fleet.runs[order.key] == 1, "the order did not run");
    constexpr std::uint64_t storedAnswerBytes = 2048;
    const std::uint64_t sent = published.fleet.controlBytesByKind[keyMessages] - before;
    CHECK_MESSAGE(sent < 2 * storedAnswerBytes, "the stored answer was sent more than once: ", sent, " bytes");
}

TEST_CASE("a request that crashes upstreams is refused on every instance after two of them")
{
    // Guards against leaving the request that saw the crash out of those in flight: nothing would ever become a suspect.
    PublishedFleet published(6);
    published.fleet.run(std::chrono::seconds{3});
    constexpr int submissions = 8;
    published.fleet.crashers.insert(7); // fingerprint of the order
    int crashSuspects = 0;
    for (int number = 0; number < submissions; ++number) {
        std::size_t home = 0;
        const core::CallerRequest order = published.order("caller-" + std::to_string(number), home);
        published.fleet.request(home, order, [&crashSuspects](const CallerAnswer &answer) {
            crashSuspects += answer.refusal.stage == core::RefusalStage::CrashSuspect ? 1 : 0;
        });
        published.fleet.run(std::chrono::seconds{3}); // longer than an upstream needs to start again
    }
    std::uint64_t crashes = 0;
    for (const auto &[id, upstream] : published.fleet.upstreams) {
        crashes += upstream.crashes;
    }
    CHECK_MESSAGE(crashes == 2, "the request crashed ", crashes, " upstreams");
    CHECK_MESSAGE(crashSuspects == submissions - 2, "later copies were not refused as crash suspects: ", crashSuspects);
}
