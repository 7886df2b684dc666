/** What an answer's head says about the upstream. */
#pragma once

#include "contract/policy.h"
#include "core/attemptreport.h"
#include "health/observation.h"

namespace jackdawdoor::core {

/** Success, Shed, Error or WrongAnswer, by the contract's rule. */
health::OutcomeKind classifyHead(const contract::WrongAnswerRule &rule, const AnswerHead &head);

/** What the end of an attempt says about the upstream. `headSeen`: its answer had begun. */
health::OutcomeKind classifyEnd(AttemptEnd end);

} // namespace jackdawdoor::core
