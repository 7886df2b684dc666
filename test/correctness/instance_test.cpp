/** The complete decision core: instances in virtual time with scripted upstreams and a scripted log. */
#include "publishedfleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace jackdawdoor;
using fakes::CallerAnswer;
using test::PublishedFleet;

TEST_CASE("a publish is in force on every instance within five seconds")
{
    PublishedFleet published(12);
    for (std::size_t index = 0; index < published.fleet.size(); ++index) {
        CHECK_MESSAGE(published.fleet.core(index).ready(), "instance ", index, " has no contract five seconds after the publish");
    }
}

TEST_CASE("an idempotent request is answered by an upstream")
{
    PublishedFleet published(6);
    int answered = 0;
    constexpr int requests = 200;
    for (int number = 0; number < requests; ++number) {
        published.fleet.request(
            static_cast<std::size_t>(number) % 6, published.read("/products/7"), [&answered](const CallerAnswer &answer) {
                answered += answer.kind == CallerAnswer::Kind::Answered ? 1 : 0;
                CHECK_MESSAGE(answer.kind == CallerAnswer::Kind::Answered, "refused: ", answer.refusal.reason);
            });
        published.fleet.run(std::chrono::milliseconds{10});
    }
    published.fleet.run(std::chrono::seconds{5});
    CHECK_MESSAGE(answered == requests, "some request to a healthy service was not answered");
}

// Guards against new requests to an upstream that the platform is about to stop.
TEST_CASE("an upstream that is leaving gets no new work after three seconds")
{
    constexpr auto drainLimit = std::chrono::seconds{3};
    PublishedFleet published(6);
    const contract::UpstreamPolicy &leaving = published.policy.services.front().upstreams.front();
    const auto sendReads = [&published](int count) {
        for (int number = 0; number < count; ++number) {
            published.fleet.request(static_cast<std::size_t>(number) % 6, published.read("/products/7"), [](const CallerAnswer &) {});
            published.fleet.run(std::chrono::milliseconds{5});
        }
    };
    sendReads(1000);
    fakes::FakeUpstream &upstream = published.fleet.upstreams.at(leaving.id);
    REQUIRE_MESSAGE(upstream.received > 0, "the upstream had no work before it left");
    published.fleet.leavingUpstreams = {leaving.address};
    const TimePoint told = published.fleet.now();
    sendReads(2000);
    CHECK_MESSAGE(
        upstream.lastReceived - told < drainLimit, "the upstream still got work ", toSeconds(upstream.lastReceived - told), " s later");
}

// Guards against ejections that violate the healthy floor because leaving upstreams are counted as usable.
TEST_CASE("the coordinator counts leaving upstreams as unusable for the healthy floor")
{
    const auto policy =
        std::make_shared<const contract::CustomerPolicy>(core::compileContract(test::readExample("quetzal.contract.json")).value());
    const contract::ServicePolicy &service = policy->services.front();
    const auto floor = static_cast<std::size_t>(service.health.healthyFloor);
    const std::size_t leavingCount = service.upstreams.size() - floor;
    const auto accuseLast = [&](bool someLeave) {
        TimePoint now{std::chrono::hours{1}};
        core::ServiceCoordinator coordinator(now, policy, service, 1);
        std::vector<std::string> leaving;
        for (std::size_t index = 0; someLeave && index < leavingCount; ++index) {
            leaving.push_back(service.upstreams[index].address);
        }
        std::sort(leaving.begin(), leaving.end());
        coordinator.setLeavingAddresses(leaving);
        core::ServiceReport report;
        report.demand.service = report.evidence.service = service.id;
        report.demand.policyVersion = report.evidence.policyVersion = 1;
        health::UpstreamEvidence accusation;
        accusation.upstream = static_cast<std::uint32_t>(service.upstreams.size() - 1);
        accusation.score = 100;
        accusation.severity = 10;
        accusation.bad = 10;
        accusation.ejectedLocally = true;
        report.evidence.upstreams = {accusation};
        std::size_t verdicts = 0;
        for (const char *holder : {"a", "b"}) {
            ++report.demand.sequence;
            const auto update = coordinator.onReport(now, InstanceRef{InstanceId{holder}, 1}, report);
            verdicts = static_cast<std::size_t>(
                std::count_if(update.verdicts.verdicts.begin(), update.verdicts.verdicts.end(), [](const auto &verdict) {
                    return verdict.kind == health::VerdictKind::Eject;
                }));
        }
        return verdicts;
    };
    CHECK_MESSAGE(accuseLast(false) == 1, "two accusing holders did not eject although the floor allows it");
    CHECK_MESSAGE(accuseLast(true) == 0, "an ejection left fewer usable upstreams than the floor");
}
