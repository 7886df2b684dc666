#include "routing/retryrule.h"

namespace jackdawdoor::routing {

namespace {

/** A retry needs at least this much time before the deadline. */
constexpr Duration minimumAttemptTime = std::chrono::milliseconds{50};

NextStep finalStep(const RetryInputs &inputs)
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
    if (inputs.timeLeft < minimumAttemptTime || inputs.attempts >= maximumTotalAttempts) {
        return finalStep(inputs);
    }
    // Retries of unsent requests add no load to upstreams, so they don't need the retry budget.
    const bool neverSent = inputs.end == AttemptEnd::Unreachable;
    if (inputs.mayHaveRun && inputs.repeatability == Repeatability::AtMostOnce) {
        return finalStep(inputs);
    }
    if (inputs.possibleRuns >= inputs.maxAttempts || !(neverSent || inputs.budgetAllows)) {
        return finalStep(inputs);
    }
    return NextStep::Retry;
}

} // namespace jackdawdoor::routing
