#include "routing/retryrule.h"

namespace jackdawdoor::routing {

namespace {

/** A shorter rest is not enough for another attempt. */
constexpr Duration shortestAttempt = std::chrono::milliseconds{50};

NextStep giveUp(const RetryInputs &inputs)
{
    if (inputs.end == AttemptEnd::FailureAnswer) {
        return NextStep::Deliver;
    }
    return inputs.mayHaveRun ? NextStep::FailUnknown : NextStep::RefuseNotRun;
}

} // namespace

bool mayHaveRun(AttemptEnd end)
{
    return end != AttemptEnd::NotRun && end != AttemptEnd::Unreachable;
}

NextStep nextStep(const RetryInputs &inputs)
{
    if (inputs.end == AttemptEnd::Answered) {
        return NextStep::Deliver;
    }
    if (inputs.left < shortestAttempt || inputs.sends >= maximumSends) {
        return giveUp(inputs);
    }
    // An attempt that did not reach the upstream loads nobody.
    const bool free = inputs.end == AttemptEnd::Unreachable;
    if (inputs.mayHaveRun && inputs.repeatability == Repeatability::Once) {
        return giveUp(inputs);
    }
    if (inputs.runs >= inputs.maxAttempts || !(free || inputs.budgetAllows)) {
        return giveUp(inputs);
    }
    return NextStep::Retry;
}

} // namespace jackdawdoor::routing
