/** What follows when an attempt at an upstream has ended. */
#pragma once

#include "base/time.h"
#include "routing/route.h"

namespace jackdawdoor::routing {

/** How an attempt ended, as far as the request is concerned. */
enum class AttemptEnd {
    Answered, ///< an answer to pass on
    FailureAnswer, ///< the upstream ran it and answered with a failure
    NotRun, ///< the upstream stated that it did not run it
    Unreachable, ///< nothing was sent
    Broken, ///< no complete answer: it may have run
    TimedOut, ///< likewise, at the end of the time
};

/** The next step for the request. */
enum class NextStep {
    Deliver, ///< pass the upstream's answer on
    Retry, ///< send it to another upstream
    RefuseNotRun, ///< answer that it has not run and when to come back
    FailUnknown, ///< answer that it failed, without a promise
};

/** What the rule goes by. */
struct RetryInputs {
    Repeatability repeatability = Repeatability::AtMostOnce;
    AttemptEnd end = AttemptEnd::Broken;
    bool mayHaveRun = false; ///< by this attempt or an earlier one
    int possibleRuns = 0; ///< attempts that may have run
    int attempts = 0; ///< attempts of any end
    int maxAttempts = 1;
    bool budgetAllows = false; ///< the retry budget has room
    Duration timeLeft{}; ///< until the request must have its final answer
};

/** Attempts of one request beyond which it is refused, whatever their ends. */
constexpr int maximumTotalAttempts = 5;

/** True when the attempt may have run at the upstream. */
bool mayHaveRun(AttemptEnd end);

/** A request that runs once is sent again only on proof that it did not run; others within attempts and budget. */
NextStep nextStep(const RetryInputs &inputs);

} // namespace jackdawdoor::routing
