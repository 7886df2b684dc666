#include "contract/operationrules.h"

#include "contract/policyconstants.h"
#include "contract/units.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawdoor::contract {

namespace {

int deriveAttempts(const Operation &operation, DerivationScope &scope)
{
    const int most = operation.idempotent ? idempotentAttempts : nonIdempotentAttempts;
    const std::string reason = operation.idempotent ? "an idempotent request may be sent again"
                                                    : "a non-idempotent request is sent again only if it certainly did not run";
    const auto fitting = operation.usefulWithin / minimumAttemptTime;
    return scope.derive(
        {"maximumAttempts",
         "attempts",
         absl::StrCat(
             "as many as fit into usefulWithin with ", formatDuration(minimumAttemptTime), " each, from 1 to ", most, ": ", reason),
         {scope.key("usefulWithin"), scope.key("idempotent")}},
        static_cast<int>(std::clamp<Duration::rep>(fitting, 1, most)));
}

std::optional<Duration> deriveHedgeDelay(const OperationPolicy &policy, DerivationScope &scope)
{
    std::optional<Duration> delay;
    if (policy.idempotent && policy.maximumAttempts > 1) {
        delay = std::max(policy.attemptTimeout / hedgeDivisor, minimumHedgeDelay);
    }
    return scope.derive(
        {"hedgeDelay",
         "ms",
         absl::StrCat("1/",
                      hedgeDivisor,
                      " of the attempt timeout, at least ",
                      formatDuration(minimumHedgeDelay),
                      ", so that the second attempt can still answer first; none for non-idempotent operations or a single attempt"),
         {scope.key("usefulWithin"), scope.key("idempotent")}},
        delay);
}

Duration deriveIdleTimeout(const Operation &operation, DerivationScope &scope)
{
    return scope.derive({"idleTimeout",
                         "ms",
                         absl::StrCat("usefulWithin, limited to ",
                                      formatDuration(minimumIdleTimeout),
                                      " to ",
                                      formatDuration(maximumIdleTimeout),
                                      ": a longer pause within a body means that the connection is dead"),
                         {scope.key("usefulWithin")}},
                        std::clamp(operation.usefulWithin, minimumIdleTimeout, maximumIdleTimeout));
}

void deriveTimes(const Operation &operation, DerivationScope &scope, OperationPolicy &policy)
{
    policy.deadline =
        scope.derive({"deadline", "ms", "usefulWithin: a later first byte is of no use to the caller", {scope.key("usefulWithin")}},
                     operation.usefulWithin);
    policy.maximumAttempts = deriveAttempts(operation, scope);
    policy.attemptTimeout = scope.derive({"attemptTimeout",
                                          "ms",
                                          "usefulWithin divided by the number of attempts, so that all of them fit",
                                          {scope.key("usefulWithin"), scope.key("idempotent")}},
                                         Duration{operation.usefulWithin / policy.maximumAttempts});
    policy.hedgeDelay = deriveHedgeDelay(policy, scope);
    policy.idleTimeout = deriveIdleTimeout(operation, scope);
}

void deriveAdmission(const Operation &operation, DerivationScope &scope, OperationPolicy &policy)
{
    policy.keyRequired = scope.derive({"keyRequired",
                                       "",
                                       "as stated; by default a non-idempotent request needs a key, so that a resend does not run it twice",
                                       {scope.key("keyRequired"), scope.key("idempotent")}},
                                      operation.keyRequired);
    policy.maximumRequestBytes = scope.derive(
        {"maximumRequestBytes", "bytes", "as stated; a longer request is refused before it takes memory", {scope.key("largestRequest")}},
        operation.largestRequest);
    policy.maximumAnswerBytes =
        scope.derive({"maximumAnswerBytes", "bytes", "as stated; a longer answer is cut off as wrong", {scope.key("largestAnswer")}},
                     operation.largestAnswer);
}

} // namespace

OperationPolicy deriveOperation(const OperationId &id, const Operation &operation, DerivationScope &scope)
{
    OperationPolicy policy;
    policy.id = id;
    policy.method = operation.method;
    policy.pathPrefix = operation.pathPrefix;
    policy.idempotent = operation.idempotent;
    policy.wrongAnswer = operation.wrongAnswer;
    deriveTimes(operation, scope, policy);
    deriveAdmission(operation, scope, policy);
    return policy;
}

} // namespace jackdawdoor::contract
