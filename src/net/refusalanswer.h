/** Answers that the system gives itself, as HTTP. */
#pragma once

#include "core/refusal.h"
#include "net/answerpipe.h"
#include "net/decisioncore.h"

#include <memory>
#include <string>

namespace jackdawdoor::net {

/** JSON of a refusal: disposition, stage, waiting_helps, retry_after_ms (null when there is none) and reason. */
std::string refusalJson(const core::Refusal &refusal);

/** The refusal with its status; Retry-After holds whole seconds, rounded up. */
std::shared_ptr<AnswerPipe> refusalAnswer(const core::Refusal &refusal);

/** A request that cannot be read. */
core::Refusal malformedRefusal(std::string reason);

/** A stored outcome. X-Answer-Stored tells the caller that the work was not run again; "partial" means that the body was cut. */
std::shared_ptr<AnswerPipe> storedAnswer(const StoredAnswer &answer);

/** A short JSON answer. */
std::shared_ptr<AnswerPipe> jsonAnswer(const JsonAnswer &answer);

} // namespace jackdawdoor::net
