/** Guards against contracts that change when they are printed and parsed, and against derived values that exceed a limit
 * or differ from their explanation.
 */
#include "contract/explanation.h"
#include "contract/parsecontract.h"
#include "contract/units.h"
#include "correctness/contractgenerator.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <sstream>

using namespace jackdawdoor;
using namespace jackdawdoor::contract;

namespace {

using Values = std::map<std::string, double>;

constexpr double none = -1;

double number(Duration value)
{
    return toMilliseconds(value);
}

// The values of a policy by the names that explanations use.
Values policyValues(const CustomerPolicy &policy)
{
    Values values;
    for (const ServicePolicy &service : policy.services) {
        const std::string id = service.id.value + " ";
        values[id + "peakRequestsPerSecond"] = service.peakRequestsPerSecond;
        values[id + "holders"] = service.holders;
        values[id + "queueBound"] = service.queueBound;
        values[id + "healthyFloor"] = service.health.healthyFloor;
        values[id + "ejectionThreshold"] = service.health.ejectionThreshold;
        values[id + "slowRatio"] = service.health.slowRatio;
        values[id + "minimumBadAnswers"] = service.health.minimumBadAnswers;
        values[id + "probationDelay"] = number(service.health.probationDelay);
        values[id + "maximumProbationDelay"] = number(service.health.maximumProbationDelay);
        values[id + "probationTrials"] = service.health.probationTrials;
        values[id + "coldStartAllowance"] = number(service.health.coldStartAllowance);
        values[id + "retryRatio"] = service.retryRatio;
        values[id + "retryBurst"] = service.retryBurst;
        values[id + "slotLeaseTerm"] = number(service.slotLeaseTerm);
        values[id + "connectionProofAge"] = number(service.connectionProofAge);
        values[id + "drainTime"] = number(service.drainTime);
        values[id + "placementHold"] = number(service.placementHold);
        values[id + "ticketLifetime"] = number(service.ticketLifetime);
        for (const OperationPolicy &operation : service.operations) {
            const std::string name = operation.id.value + " ";
            values[name + "deadline"] = number(operation.deadline);
            values[name + "attemptTimeout"] = number(operation.attemptTimeout);
            values[name + "idleTimeout"] = number(operation.idleTimeout);
            values[name + "maximumAttempts"] = operation.maximumAttempts;
            values[name + "hedgeDelay"] = operation.hedgeDelay ? number(*operation.hedgeDelay) : none;
            values[name + "keyRequired"] = operation.keyRequired ? 1 : 0;
            values[name + "maximumRequestBytes"] = static_cast<double>(operation.maximumRequestBytes);
            values[name + "maximumAnswerBytes"] = static_cast<double>(operation.maximumAnswerBytes);
        }
    }
    return values;
}

Values explainedValues(const std::vector<Explanation> &explanations)
{
    const Values words{{"none", none}, {"true", 1}, {"false", 0}};
    Values values;
    for (const Explanation &explanation : explanations) {
        const auto word = words.find(explanation.value);
        values[explanation.subject + " " + explanation.name] = word == words.end() ? std::stod(explanation.value) : word->second;
    }
    return values;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

void checkOperation(const OperationPolicy &operation)
{
    RC_ASSERT(operation.maximumAttempts >= 1);
    RC_ASSERT(operation.attemptTimeout > Duration::zero());
    RC_ASSERT(operation.maximumAttempts * operation.attemptTimeout <= operation.deadline);
    RC_ASSERT(!operation.hedgeDelay || (operation.idempotent && *operation.hedgeDelay < operation.attemptTimeout));
    RC_ASSERT(operation.idleTimeout > Duration::zero());
    RC_ASSERT(!(operation.idempotent && operation.keyRequired));
}

void checkService(const ServicePolicy &service, const Service &stated)
{
    int slots = 0;
    for (const UpstreamPolicy &upstream : service.upstreams) {
        slots += upstream.slots;
    }
    const auto upstreams = static_cast<int>(service.upstreams.size());
    RC_ASSERT(service.health.healthyFloor >= 1);
    RC_ASSERT(service.health.healthyFloor <= upstreams);
    if (stated.healthyFloor.unit == HealthyFloor::Unit::Percent) {
        RC_ASSERT(service.health.healthyFloor == static_cast<int>(std::ceil(upstreams * stated.healthyFloor.amount / 100.0 - 1e-9)));
    }
    RC_ASSERT(service.health.slowRatio > 1);
    RC_ASSERT(service.health.slowRatio < 5);
    RC_ASSERT(service.health.probationDelay <= service.health.maximumProbationDelay);
    RC_ASSERT(service.retryRatio <= 0.1);
    RC_ASSERT(service.retryBurst >= 1);
    RC_ASSERT(service.retryBurst <= 10);
    RC_ASSERT(service.holders >= 2);
    RC_ASSERT(service.holders <= std::max(2, slots));
    RC_ASSERT(service.queueBound >= 1);
    RC_ASSERT(service.queueBound <= 1000);
    for (const OperationPolicy &operation : service.operations) {
        checkOperation(operation);
        RC_ASSERT(operation.idempotent || service.ticketLifetime >= service.placementHold + 2 * operation.deadline);
    }
}

} // namespace

TEST_CASE("a contract that is printed and parsed again is unchanged")
{
    CHECK_MESSAGE(rc::check("print and parse",
                            [] {
                                const Contract contract = *acceptedContract();
                                const ParseResult result = parseContract(printContract(contract));
                                for (const Fault &fault : result.faults) {
                                    RC_LOG() << fault.keyPath << ": " << fault.reason << "; " << fault.acceptedRange << "\n";
                                }
                                RC_ASSERT(result.accepted());
                                RC_ASSERT(*result.contract == contract);
                                RC_ASSERT(derivePolicy(*result.contract) == derivePolicy(contract));
                            }),
                  "an accepted contract is refused or changed after printing and parsing");
}

TEST_CASE("each explained value is the derived one and cites the line of its key")
{
    CHECK_MESSAGE(rc::check("explain and derive",
                            [] {
                                const std::string text = printContract(*acceptedContract());
                                const auto contract = parseContract(text).contract;
                                const auto explanations = explainPolicy(*contract);
                                RC_ASSERT(explainedValues(explanations) == policyValues(derivePolicy(*contract)));
                                const auto lines = splitLines(text);
                                for (const Explanation &explanation : explanations) {
                                    RC_ASSERT(!explanation.rule.empty());
                                    for (const ExplanationSource &source : explanation.sources) {
                                        const std::string &line = lines.at(static_cast<std::size_t>(source.line - 1));
                                        const bool isElement = source.keyPath.ends_with(']');
                                        const std::string key = source.keyPath.substr(source.keyPath.rfind('.') + 1);
                                        RC_ASSERT(line.find(isElement ? "{" : '"' + key + '"') != std::string::npos);
                                    }
                                }
                            }),
                  "an explanation differs from the policy or cites a line on which its key is not given");
}

TEST_CASE("derived policies stay within their limits")
{
    CHECK_MESSAGE(rc::check("limits",
                            [] {
                                Contract contract = *acceptedContract();
                                const CustomerPolicy policy = derivePolicy(contract);
                                RC_ASSERT(policy.services.size() == contract.services.size());
                                for (std::size_t index = 0; index < policy.services.size(); ++index) {
                                    checkService(policy.services[index], contract.services[index]);
                                    contract.services[index].peakRequestsPerSecond *= 2;
                                }
                                const CustomerPolicy busier = derivePolicy(contract);
                                contract.weight = Weight::DetectionTime;
                                const CustomerPolicy quick = derivePolicy(contract);
                                contract.weight = Weight::FalseEjections;
                                const CustomerPolicy careful = derivePolicy(contract);
                                for (std::size_t index = 0; index < policy.services.size(); ++index) {
                                    RC_ASSERT(busier.services[index].holders >= policy.services[index].holders);
                                    const HealthPolicy &quickHealth = quick.services[index].health;
                                    const HealthPolicy &carefulHealth = careful.services[index].health;
                                    RC_ASSERT(quickHealth.ejectionThreshold < carefulHealth.ejectionThreshold);
                                    RC_ASSERT(quickHealth.slowRatio <= carefulHealth.slowRatio);
                                    RC_ASSERT(quickHealth.minimumBadAnswers <= carefulHealth.minimumBadAnswers);
                                }
                            }),
                  "a derived policy exceeds a limit that the requirements set");
}

TEST_CASE("durations and sizes are unchanged by formatting and parsing")
{
    CHECK_MESSAGE(rc::check("units",
                            [] {
                                const auto count = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40);
                                RC_ASSERT(parseDuration(formatDuration(Duration{count})) == Duration{count});
                                const auto bytes = static_cast<std::uint64_t>(count);
                                RC_ASSERT(parseSize(formatSize(bytes)) == bytes);
                            }),
                  "a duration or a size is changed by formatting and parsing");
    CHECK_MESSAGE(parseDuration("24h") == std::chrono::hours{24}, "hours are misread");
    CHECK_MESSAGE(parseSize("64KiB") == 65536U, "binary sizes are misread");
    for (const char *wrong : {"", "5", "s", "-5s", "1.5s", " 5s", "5 s", "5S", "9223372036854775807h", "99999999999999999999s"}) {
        CHECK_MESSAGE(!parseDuration(wrong).has_value(), wrong << " is accepted as a duration");
    }
}
