// Exchange: what the attempts tell about upstreams and about the request.
#include "proxy/exchange.h"
#include "proxy/proxylog.h"

namespace jackdawdoor::proxy {

void Exchange::recordSignals(const Attempt &attempt)
{
    const AttemptResult &result = attempt.result();
    const fleet::UpstreamEntry &upstream = attempt.upstream();
    const fleet::UpstreamRecord *record = m_context.upstreams.find(upstream.id, upstream.incarnation);
    const bool hasRateLimit = record != nullptr && record->announced.rateLimit.active();
    const bool unchanged = result.signals == fleet::UpstreamSignals{} && !hasRateLimit;
    if (unchanged || !isOwnAnswer(result.head, m_requestId, m_context.protocol.names)) {
        return;
    }
    const bool answered = classifyAnswer(result.head, m_requestId, m_context.protocol.names).end == routing::AttemptEnd::Answered;
    const auto notice = m_context.upstreams.recordSignals(net::now(), upstream.id, upstream.incarnation, result.signals, answered);
    if (result.signals.retryAfter) {
        m_context.metrics.countRest();
        logRest(m_requestId, upstream, *result.signals.retryAfter);
    }
    if (!notice) {
        return;
    }
    m_context.reportEvents(*notice);
    if (notice->rateLimit) {
        m_context.metrics.countRateLimitChange(result.signals.rateLimit ? "announced" : "ended");
        logRateLimit(m_requestId, m_service, upstream, result.signals.rateLimit);
    }
    if (notice->leaving) {
        m_context.metrics.countLeaving("own");
        logLeaving(record->entry, m_requestId);
    }
}

void Exchange::recordOutcome(TimePoint now, const Attempt &attempt, fleet::AttemptOutcome outcome)
{
    const fleet::UpstreamEntry &upstream = attempt.upstream();
    const std::uint32_t key = fleet::upstreamKey(upstream.id, upstream.incarnation);
    if (const auto notice = m_context.upstreams.endAttempt(now, upstream.id, upstream.incarnation, outcome, attempt.age(now))) {
        m_context.reportEvents(*notice);
    }
    if (outcome == fleet::AttemptOutcome::Failed || outcome == fleet::AttemptOutcome::TimedOut) {
        m_context.reportEvents({key, 1, 0});
    }
    if (outcome == fleet::AttemptOutcome::Misdirected) {
        m_context.broadcast(fleet::MisdirectedNotice{key});
    }
    recordCrashEvidence(now, attempt, outcome);
}

void Exchange::recordCrashEvidence(TimePoint now, const Attempt &attempt, fleet::AttemptOutcome outcome)
{
    const fleet::UpstreamEntry &upstream = attempt.upstream();
    const routing::AttemptEnd end = attempt.result().classification.end;
    const bool timedOut = outcome == fleet::AttemptOutcome::TimedOut && attempt.mayHaveRun();
    if (attempt.result().connectionLost || timedOut) {
        const bool listed = m_context.upstreams.find(upstream.id, upstream.incarnation) != nullptr;
        m_context.crashes.onUnanswered(now, m_fingerprint, upstream, listed, now - attempt.age(now));
    } else if (outcome == fleet::AttemptOutcome::Unreachable) {
        m_context.crashes.onUnreachable(now, fleet::upstreamKey(upstream.id, upstream.incarnation));
    } else if (outcome == fleet::AttemptOutcome::Answered || end == routing::AttemptEnd::FailureAnswer) {
        m_context.crashes.onAnswer(now, m_fingerprint);
    }
}

} // namespace jackdawdoor::proxy
