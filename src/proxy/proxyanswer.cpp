#include "proxy/proxyanswer.h"

namespace jackdawdoor::proxy {

namespace {

constexpr int misdirected = 421;
constexpr int firstServerError = 500;

} // namespace

bool promisesNotRun(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

AnswerClassification classifyAnswer(const MessageHead &head, const std::string &requestId, const HeaderNames &names)
{
    using fleet::AttemptOutcome;
    using routing::AttemptEnd;
    if (head.status == misdirected) {
        return {AttemptEnd::NotRun, AttemptOutcome::Misdirected, "misdirected"};
    }
    if (!net::findHeader(head.headers, names.notRun).empty()) {
        return {AttemptEnd::NotRun, AttemptOutcome::NotRun, "not-run"};
    }
    const bool own = net::findHeader(head.headers, names.requestId) == requestId;
    const bool isSigned = !net::findHeader(head.headers, names.signature).empty();
    if (!own || !isSigned || !net::findHeader(head.headers, "Content-Encoding").empty()) {
        return {AttemptEnd::Broken, AttemptOutcome::Failed, own ? "unsigned-answer" : "unnamed-answer"};
    }
    if (promisesNotRun(head.status)) {
        // Without the not-run header the request may have run, so a status that guarantees the opposite isn't forwarded.
        return {AttemptEnd::Broken, AttemptOutcome::Failed, "unproven-refusal"};
    }
    if (head.status >= firstServerError) {
        return {AttemptEnd::FailureAnswer, AttemptOutcome::Failed, "failure-answer"};
    }
    return {AttemptEnd::Answered, AttemptOutcome::Answered, "answered"};
}

bool isOwnAnswer(const MessageHead &head, const std::string &requestId, const HeaderNames &names)
{
    const bool echoed = net::findHeader(head.headers, names.requestId) == requestId;
    return head.status != misdirected && (echoed || !net::findHeader(head.headers, names.notRun).empty());
}

net::Headers answerHeaders(const MessageHead &head, const HeaderNames &names)
{
    net::Headers headers = net::withoutHopByHop(head.headers);
    std::erase_if(headers, [&names](const net::Header &header) {
        return net::equalsIgnoreCase(header.name, "Content-Length") || net::equalsIgnoreCase(header.name, "Keep-Alive")
               || net::equalsIgnoreCase(header.name, names.notRun);
    });
    return headers;
}

} // namespace jackdawdoor::proxy
