/** Classification of upstreams' answers. */
#pragma once

#include "fleet/upstreamtable.h"
#include "proxy/headernames.h"
#include "proxy/messageparser.h"
#include "routing/retryrule.h"

#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** Meaning of an answer for the request (end), for the health of the upstream (outcome) and for the log (reason). */
struct AnswerClassification {
    routing::AttemptEnd end = routing::AttemptEnd::Broken;
    fleet::AttemptOutcome outcome = fleet::AttemptOutcome::Failed;
    const char *reason = "";
};

/** Classifies the complete answer to the request with that id. */
AnswerClassification classifyAnswer(const MessageHead &head, const std::string &requestId, const HeaderNames &names);

/** True if the head comes from the upstream to which that request was sent, so that its signals are the upstream's own. */
bool isOwnAnswer(const MessageHead &head, const std::string &requestId, const HeaderNames &names);

/** Headers of an upstream's answer that are forwarded to the caller. */
net::Headers answerHeaders(const MessageHead &head, const HeaderNames &names);

/** True for status codes that guarantee to callers that the request was not run. */
bool promisesNotRun(int status);

} // namespace jackdawdoor::proxy
