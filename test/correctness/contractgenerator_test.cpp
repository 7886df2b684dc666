#include "correctness/contractgenerator.h"

#include "contract/contractbuilder.h"
#include "contract/operationbuilder.h"
#include "contract/servicebuilder.h"

namespace jackdawdoor::contract {

namespace {

// Both bounds are included; rapidcheck shrinks towards the lower one.
int pick(int minimum, int maximum)
{
    return minimum + *rc::gen::inRange(0, maximum - minimum + 1);
}

WrongAnswerRule pickWrongAnswer()
{
    WrongAnswerRule rule;
    rule.statuses = {pick(200, 399), pick(400, 599)};
    if (*rc::gen::arbitrary<bool>()) {
        rule.freshnessHeader = "Age";
        rule.maximumAge = std::chrono::seconds{pick(1, 3600)};
    }
    rule.contentType = *rc::gen::element<std::string>("", "text/", "application/json; charset=\"utf-8\"");
    rule.minimumBodyBytes = static_cast<std::uint64_t>(pick(0, 1));
    return rule;
}

Operation pickOperation(int number)
{
    const auto method = *rc::gen::element<std::string>("GET", "POST", "DELETE");
    OperationBuilder builder("operation-" + std::to_string(number), method, "/path/" + std::to_string(number));
    if (*rc::gen::arbitrary<bool>()) {
        builder.idempotent();
    } else {
        builder.keyRequired(*rc::gen::arbitrary<bool>());
    }
    builder.usefulWithin(std::chrono::microseconds{pick(20'000, 600'000'000)});
    builder.largestBodies(static_cast<std::uint64_t>(pick(0, 64 << 20)), static_cast<std::uint64_t>(pick(1, 1 << 30)));
    return builder.wrongAnswer(pickWrongAnswer()).build();
}

Service pickService(int number)
{
    ServiceBuilder builder("service_" + std::to_string(number));
    builder.peakRequestsPerSecond(pick(1, 100'000'000) / 100.0);
    const int upstreams = pick(1, 12);
    const bool percent = *rc::gen::arbitrary<bool>();
    builder.healthyFloor({pick(1, percent ? 100 : upstreams), percent ? HealthyFloor::Unit::Percent : HealthyFloor::Unit::Upstreams});
    for (int upstream = 0; upstream < upstreams; ++upstream) {
        const int slots = pick(1, 10'000);
        const std::string address = "127." + std::to_string(number) + ".0." + std::to_string(upstream) + ":8080";
        builder.upstream({"u" + std::to_string(upstream), address, DataCentreId{"dc.1"}, slots, pick(slots, 100'000)});
    }
    const int operations = pick(1, 4);
    for (int operation = 0; operation < operations; ++operation) {
        builder.operation(pickOperation(operation));
    }
    return builder.build();
}

} // namespace

rc::Gen<Contract> acceptedContract()
{
    return rc::gen::exec([] {
        ContractBuilder builder("customer-1", *rc::gen::element(Weight::DetectionTime, Weight::FalseEjections));
        builder.organisationHeader(*rc::gen::element<std::string>("", "X-Office"));
        const int services = pick(1, 3);
        for (int service = 0; service < services; ++service) {
            builder.service(pickService(service));
        }
        return builder.build();
    });
}

} // namespace jackdawdoor::contract
