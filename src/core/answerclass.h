/** Classification of attempts for health. */
#pragma once

#include "contract/policy.h"
#include "core/attemptreport.h"
#include "health/observation.h"

namespace jackdawdoor::core {

/** Classifies the head of an answer by the contract's rule as Success, Shed, Error or WrongAnswer. */
health::OutcomeKind classifyHead(const contract::WrongAnswerRule &rule, const AnswerHead &head);

/** Maps the end of an attempt to an outcome for health. */
health::OutcomeKind classifyEnd(AttemptEnd end);

} // namespace jackdawdoor::core
