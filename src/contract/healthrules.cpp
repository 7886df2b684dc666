#include "contract/healthrules.h"

#include "contract/policyconstants.h"
#include "contract/units.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <string>

namespace jackdawdoor::contract {

namespace {

constexpr const char *weightKey = "weight";

// Rule text of a constant that depends on the weight, with both values.
std::string byWeight(const std::string &forDetectionTime, const std::string &forFalseEjections, const std::string &reason)
{
    return absl::StrCat(forDetectionTime, " for detection-time, ", forFalseEjections, " for false-ejections: ", reason);
}

std::string byWeight(int HealthConstants::*constant, const std::string &reason)
{
    return byWeight(absl::StrCat(detectionTimeConstants.*constant), absl::StrCat(falseEjectionsConstants.*constant), reason);
}

std::string byWeight(double HealthConstants::*constant, const std::string &reason)
{
    return byWeight(absl::StrCat(detectionTimeConstants.*constant), absl::StrCat(falseEjectionsConstants.*constant), reason);
}

std::string byWeight(Duration HealthConstants::*constant, const std::string &reason)
{
    return byWeight(formatDuration(detectionTimeConstants.*constant), formatDuration(falseEjectionsConstants.*constant), reason);
}

void deriveDetection(const HealthConstants &constants, DerivationScope &scope, HealthPolicy &policy)
{
    policy.ejectionThreshold =
        scope.derive({"ejectionThreshold",
                      "log-likelihood ratio",
                      byWeight(&HealthConstants::falseAlarmInterval,
                               "natural logarithm of the answers that a healthy upstream gives between false alarms"),
                      {weightKey}},
                     std::log(constants.falseAlarmInterval));
    policy.slowRatio =
        scope.derive({"slowRatio",
                      "times the median",
                      "the same for all services: below the 5x slowdown that must be detected and above a short latency spike of 2x",
                      {scope.keyPath()}},
                     slowRatio);
    policy.minimumBadAnswers = scope.derive({"minimumBadAnswers",
                                             "answers",
                                             byWeight(&HealthConstants::minimumBadAnswers, "a few random faults never cause an ejection"),
                                             {weightKey}},
                                            constants.minimumBadAnswers);
}

void deriveProbation(const HealthConstants &constants, DerivationScope &scope, HealthPolicy &policy)
{
    policy.probationDelay = scope.derive(
        {"probationDelay", "ms", "the same for all services: time from a first ejection to probation", {scope.keyPath()}}, probationDelay);
    policy.maximumProbationDelay = scope.derive({"maximumProbationDelay",
                                                 "ms",
                                                 "the same for all services: a flapping upstream is tried about once in two minutes",
                                                 {scope.keyPath()}},
                                                maximumProbationDelay);
    policy.probationTrials =
        scope.derive({"probationTrials", "good answers in a row", "the same for all services", {scope.keyPath()}}, probationTrials);
    policy.coldStartAllowance = scope.derive(
        {"coldStartAllowance",
         "ms",
         byWeight(&HealthConstants::coldStartAllowance, "slow answers after a start are ignored for longer where capacity matters more"),
         {weightKey}},
        constants.coldStartAllowance);
}

} // namespace

HealthPolicy deriveHealth(Weight weight, const Service &service, DerivationScope &scope)
{
    HealthPolicy policy;
    policy.weight = weight;
    policy.healthyFloor = scope.derive({"healthyFloor",
                                        "upstreams",
                                        "as stated; a percentage is rounded up to whole upstreams",
                                        {scope.key("healthyFloor"), scope.key("upstreams")}},
                                       service.healthyFloor.requiredUpstreams(static_cast<int>(service.upstreams.size())));
    const HealthConstants &constants = healthConstants(weight);
    deriveDetection(constants, scope, policy);
    deriveProbation(constants, scope, policy);
    return policy;
}

} // namespace jackdawdoor::contract
