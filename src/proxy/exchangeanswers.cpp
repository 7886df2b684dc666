// Exchange: final answers of a request and the end of its attempts.
#include "proxy/exchange.h"
#include "proxy/proxylog.h"

#include <algorithm>
#include <cstdio>

namespace jackdawdoor::proxy {

namespace {

constexpr int tooManyRequests = 429;
constexpr int firstFailureStatus = 500;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
/** Random jitter of the Retry-After of a refusal. */
constexpr double retryAfterSpreadSeconds = 0.5;
/** Callers that wait longer than this would miss an upstream that recovers. */
constexpr double maximumRetryAfterSeconds = 5;

std::string secondsText(double seconds)
{
    char text[32];
    const int length = std::snprintf(text, sizeof(text), "%.2f", seconds);
    return {text, static_cast<std::size_t>(length)};
}

} // namespace

bool Exchange::beginStreaming(Attempt &attempt)
{
    if (m_streaming != nullptr || attempt.result().classification.end != routing::AttemptEnd::Answered) {
        return false;
    }
    m_streaming = &attempt;
    // The answers of the other attempts can no longer be used.
    for (const auto &other : m_attempts) {
        if (other.get() != &attempt) {
            abandon(net::now(), *other);
        }
    }
    std::erase_if(m_attempts, [&attempt](const auto &other) {
        return other.get() != &attempt;
    });
    const MessageHead &head = attempt.result().head;
    m_caller.start(head.status, answerHeaders(head, m_context.protocol.names), head.contentLength);
    m_caller.sendBody(attempt.result().body);
    m_request.body = Body(); // no further attempt can follow
    return true;
}

void Exchange::forwardChunk(Attempt &attempt, std::string_view bytes)
{
    m_caller.sendBody(bytes);
    if (m_caller.unsent() > unsentLimit()) {
        attempt.pauseReading(true);
    }
}

std::size_t Exchange::unsentLimit() const
{
    return m_context.memory->shortage() > 0 ? limits::smallRequestBytes : maximumUnsentBytes;
}

std::size_t Exchange::heldBytes() const
{
    std::size_t bytes = m_request.body.capacity();
    for (const auto &attempt : m_attempts) {
        bytes += attempt->result().body.capacity();
    }
    return bytes;
}

void Exchange::sendAnswer(const Attempt &attempt)
{
    const AttemptResult &result = attempt.result();
    m_caller.reply(result.head.status, answerHeaders(result.head, m_context.protocol.names), result.body);
    finish(net::now(), result.head.status, result.classification.reason);
}

net::Headers Exchange::ownHeaders() const
{
    net::Headers headers;
    if (!m_requestId.empty()) {
        headers.push_back({m_context.protocol.names.requestId, m_requestId});
    }
    return headers;
}

void Exchange::refuse(TimePoint now, const char *reason, Duration retryAfter)
{
    net::Headers headers = ownHeaders();
    const double seconds = std::clamp(toSeconds(retryAfter), toSeconds(minimumRetryAfter), maximumRetryAfterSeconds);
    headers.push_back({"Retry-After", secondsText(seconds + retryAfterSpreadSeconds * uniform(m_context.random))});
    m_caller.reply(unavailable, headers, "not run\n");
    giveBackQuota(now);
    finish(now, unavailable, reason);
}

bool Exchange::admitByQuota(TimePoint now)
{
    if (m_organisation == nullptr) {
        return true;
    }
    const limits::QuotaDecision decision = m_context.quotas.admit(now, *m_organisation, m_requestId);
    if (decision.admitted) {
        m_chargedToQuota = true;
        return true;
    }
    net::Headers headers = ownHeaders();
    headers.push_back({"Retry-After", secondsText(toSeconds(decision.retryAfter))});
    m_caller.reply(tooManyRequests, headers, "over-quota\n");
    finish(now, tooManyRequests, "over-quota");
    return false;
}

void Exchange::giveBackQuota(TimePoint now)
{
    if (m_chargedToQuota) {
        m_chargedToQuota = false;
        m_context.quotas.giveBack(now, *m_organisation);
    }
}

void Exchange::fail(TimePoint now, int status, const char *reason)
{
    m_caller.reply(status, ownHeaders(), std::string(reason) + "\n");
    finish(now, status, reason);
}

void Exchange::onTimeout()
{
    endUnanswered(fleet::AttemptOutcome::TimedOut);
}

void Exchange::endUnanswered(fleet::AttemptOutcome outcome)
{
    const TimePoint now = net::now();
    bool running = m_mayHaveRun;
    for (const auto &attempt : m_attempts) {
        running = running || attempt->mayHaveRun();
        recordOutcome(now, *attempt, outcome);
    }
    // Not called from a hook of an attempt, so they can be destroyed here, which cancels the work at their upstreams.
    m_attempts.clear();
    if (m_streaming != nullptr) {
        m_caller.abort();
        finish(now, 0, "timeout-in-stream");
        return;
    }
    if (running) {
        fail(now, gatewayTimeout, "timeout");
    } else {
        refuse(now, "timeout-not-run");
    }
}

void Exchange::finish(TimePoint now, int status, const char *reason)
{
    if (m_done) {
        return;
    }
    m_done = true;
    m_timer.cancel();
    m_waitTimer.cancel();
    releaseAttempts(now);
    m_request.body = Body();
    if (m_attemptCount == 0) {
        giveBackQuota(now);
    }
    const bool brokenOff = status == 0 && !m_callerGone;
    if (m_counted && (status >= firstFailureStatus || brokenOff)) {
        m_context.failureShares[m_service].addOwnFailure(now);
    }
    m_context.metrics.countRequest(reason, now - m_request.received);
    logRequest(m_requestId, m_route, status, reason, m_attemptCount, now - m_request.received);
}

void Exchange::abandon(TimePoint now, const Attempt &attempt)
{
    m_context.upstreams.endAttempt(now, attempt.upstream().id, attempt.upstream().incarnation, fleet::AttemptOutcome::Abandoned, {});
}

void Exchange::releaseAttempts(TimePoint now)
{
    for (const auto &attempt : m_attempts) {
        abandon(now, *attempt);
    }
    m_attempts.clear();
}

void Exchange::callerGone()
{
    m_callerGone = true;
    finish(net::now(), 0, "caller-gone");
}

void Exchange::endForStop()
{
    // Abandoned: the stop of this process is no evidence about the upstreams.
    endUnanswered(fleet::AttemptOutcome::Abandoned);
}

} // namespace jackdawdoor::proxy
