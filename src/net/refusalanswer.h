/** HTTP answers that the proxy generates itself. */
#pragma once

#include "core/refusal.h"
#include "net/answerpipe.h"
#include "net/decisioncore.h"

#include <memory>
#include <string>

namespace jackdawdoor::net {

/** JSON of a refusal: disposition, stage, waiting_helps, retry_after_ms (null when there is none) and reason. */
std::string refusalJson(const core::Refusal &refusal);

/** Answer for a refusal; Retry-After is in whole seconds, rounded up. */
std::shared_ptr<AnswerPipe> refusalAnswer(const core::Refusal &refusal);

/** Refusal of a malformed request. */
core::Refusal malformedRefusal(std::string reason);

/** Answer from a stored outcome. X-Answer-Stored tells the caller that the request was not run again; "partial": truncated body. */
std::shared_ptr<AnswerPipe> storedAnswer(const StoredAnswer &answer);

/** Complete JSON answer. */
std::shared_ptr<AnswerPipe> jsonAnswer(const JsonAnswer &answer);

} // namespace jackdawdoor::net
