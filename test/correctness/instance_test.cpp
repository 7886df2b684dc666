/** Whole decision core: instances in virtual time against scripted upstreams and a scripted log. */
#include "core/contractcompiler.h"
#include "fakes/virtualfleet.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace jackdawdoor;
using fakes::CallerAnswer;
using fakes::VirtualFleet;

namespace {

constexpr std::uint64_t seed = 20261204;

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(JACKDAWDOOR_SOURCE_DIR) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Fleet with the Quetzal example published and in force. */
struct PublishedFleet {
    explicit PublishedFleet(std::size_t instances, std::uint64_t fleetSeed = seed)
        : fleet(instances, 3, fleetSeed)
        , body(readExample("quetzal.contract.json"))
        , policy(core::compileContract(body).value())
    {
        fleet.addUpstreams(policy);
        fleet.run(std::chrono::seconds{3});
        fleet.publish(policy.customer, 0, body, "first");
        fleet.run(std::chrono::seconds{5});
    }

    core::CallerRequest read(const std::string &path) const
    {
        core::CallerRequest request;
        request.service = makeServiceId(policy.customer, "catalogue");
        request.method = "GET";
        request.path = path;
        request.fingerprint = 1;
        return request;
    }

    VirtualFleet fleet;
    std::string body;
    contract::CustomerPolicy policy;
};

} // namespace

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
        published.fleet.request(static_cast<std::size_t>(number) % 6, published.read("/products/7"), [&answered](const CallerAnswer &answer) {
            answered += answer.kind == CallerAnswer::Kind::Answered ? 1 : 0;
            CHECK_MESSAGE(answer.kind == CallerAnswer::Kind::Answered, "refused: ", answer.refusal.reason);
        });
        published.fleet.run(std::chrono::milliseconds{10});
    }
    published.fleet.run(std::chrono::seconds{5});
    CHECK_MESSAGE(answered == requests, "some request to a healthy service was not answered");
}
