/** Complete answer of an upstream, or its failure. */
#pragma once

#include "fleet/upstreamboard.h"
#include "proxy/headernames.h"
#include "proxy/messageparser.h"
#include "routing/retryrule.h"

#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** What an answer means for the request and for the upstream. */
struct AnswerClassification {
    routing::AttemptEnd end = routing::AttemptEnd::Broken;
    fleet::AttemptOutcome outcome = fleet::AttemptOutcome::Failed;
    const char *reason = "";
};

/** Judges a complete answer to the request of that id. */
AnswerClassification classifyAnswer(const MessageHead &head, const std::string &requestId, const HeaderNames &names);

/** Headers of an upstream's answer that are passed on. */
net::Headers answerHeaders(const MessageHead &head, const HeaderNames &names);

/** Status codes by which this system itself promises that a request has not run. */
bool promisesNotRun(int status);

} // namespace jackdawdoor::proxy
