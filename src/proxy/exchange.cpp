#include "proxy/exchange.h"

#include "proxy/proxylog.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

constexpr int badGateway = 502;
constexpr int notFound = 404;
/** Deadline of a request that states none. */
constexpr Duration defaultDeadline = std::chrono::seconds{10};
/** A longer stated deadline is ignored: no caller waits that long, and adding it to a time point could overflow. */
constexpr std::uint64_t longestDeadlineMilliseconds = 24ULL * 60 * 60 * 1000;
/** Subtracted from the stated deadline, so that the answer reaches the caller before it gives up. */
constexpr Duration answerMargin = std::chrono::milliseconds{25};
/** A request may wait for an upstream with capacity for its latency objective divided by this. */
constexpr int capacityWaitDivisor = 8;
/** The same for a route without a latency objective. */
constexpr Duration defaultCapacityWait = std::chrono::milliseconds{200};
/** Interval at which a waiting request looks for an upstream with capacity. */
constexpr Duration capacityPollPeriod = std::chrono::milliseconds{20};
/** A request that isn't idempotent uses only new connections and those that answered this recently. On a connection that
 * has died unnoticed, it would remain unknown whether the request ran. */
constexpr Duration maximumIdleUnsafe = std::chrono::milliseconds{1000};
constexpr Duration maximumIdleIdempotent = std::chrono::seconds{60};
/** An attempt is overdue after this multiple of the service's typical latency, but not before minimumOverdueTime. */
constexpr double overdueLatencyFactor = 4;
constexpr Duration minimumOverdueTime = std::chrono::milliseconds{1200};
/** An attempt is hedged after this multiple of the typical latency, but not before minimumHedgeDelay. */
constexpr double hedgeLatencyFactor = 2.5;
constexpr Duration minimumHedgeDelay = std::chrono::milliseconds{600};
/** After this many lost connections, the next attempt waits until it is known whether the request has crashed the upstreams. */
constexpr int suspiciousLostConnections = 2;
constexpr Duration crashProofTime = std::chrono::milliseconds{300};

Duration statedDeadline(const MessageHead &head, const HeaderNames &names)
{
    const auto stated = net::parseNumber(net::findHeader(head.headers, names.deadline));
    const bool plausible = stated && *stated <= longestDeadlineMilliseconds;
    return plausible ? Duration{std::chrono::milliseconds{*stated}} : defaultDeadline;
}

} // namespace

Exchange::Exchange(RequestContext &context, CallerConnection &caller, CallerRequest &&request)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_requestId(net::findHeader(m_request.head.headers, context.protocol.names.requestId))
    , m_table(context.routes)
    , m_timer(context.loop,
              [this] {
                  onTimeout();
              })
    , m_waitTimer(context.loop, [this] {
        tryAttempt(net::now());
    })
{
}

Exchange::~Exchange()
{
    if (!m_done) {
        releaseAttempts(net::now());
    }
}

const routing::Route &Exchange::route() const
{
    return *m_route;
}

bool Exchange::idempotent() const
{
    return route().repeatability == routing::Repeatability::Idempotent;
}

void Exchange::begin()
{
    const TimePoint now = net::now();
    if (!m_table) {
        refuse(now, "no-configuration");
        return;
    }
    const std::string &target = m_request.head.target;
    const std::string host = net::findHeader(m_request.head.headers, "Host");
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    m_route = m_table->match(host, path);
    if (m_route == nullptr) {
        fail(now, notFound, "no-route");
        return;
    }
    if (!authenticate(now, host, path)) {
        return;
    }
    m_deadline = m_request.received + statedDeadline(m_request.head, m_context.protocol.names) - answerMargin;
    if (route().timeout > Duration::zero()) {
        m_deadline = std::min(m_deadline, m_request.received + route().timeout);
    }
    const Duration capacityWait =
        route().latencyObjective > Duration::zero() ? route().latencyObjective / capacityWaitDivisor : defaultCapacityWait;
    m_capacityDeadline = m_request.received + capacityWait;
    m_service = m_context.split.next(route());
    m_fingerprint = fleet::fingerprintOf(host, m_request.head.method, target, m_request.body.blocks(), callerIdentity().organisation);
    if (m_context.stopping) {
        refuse(now, "stopping");
        return;
    }
    if (m_deadline <= now) {
        refuse(now, "no-time-left");
        return;
    }
    if (!admitByQuota(now)) {
        return;
    }
    m_context.countRequest(now, m_service, priority());
    m_counted = true;
    m_timer.set(m_deadline - now);
    tryAttempt(now);
}

/** Time until the answer is late; the maximum if it cannot be late, or is late already. */
Duration Exchange::objectiveLeft(TimePoint now) const
{
    const Duration left = m_request.received + route().latencyObjective - now;
    return route().latencyObjective > Duration::zero() && left > Duration::zero() ? left : Duration::max();
}

limits::CapacityUse Exchange::capacityUse(TimePoint now)
{
    return limits::capacityUseFor(m_context.priorityDemand[m_service].moreUrgentShare(now, priority()));
}

fleet::UpstreamChoice Exchange::choose(TimePoint now)
{
    limits::FleetRetryBudget &budget = m_context.budgetOf(m_service);
    const fleet::ChoiceRequest choiceRequest{m_service,
                                             route().repeatability,
                                             m_context.dataCentre,
                                             m_tried,
                                             budget.requestsPerSecond(now),
                                             m_context.floorShareOf(m_service),
                                             budget.allows(now),
                                             m_deadline - now,
                                             m_request.body.size(),
                                             objectiveLeft(now),
                                             capacityUse(now).queueShare};
    return fleet::chooseUpstream(now, m_context.upstreams, choiceRequest, m_context.random);
}

void Exchange::tryAttempt(TimePoint now)
{
    if (m_context.crashes.refused(now, m_fingerprint)) {
        logCrashRefusal(m_requestId, m_fingerprint, m_context.crashes.crashes(m_fingerprint));
        fail(now, badGateway, "crashes-upstreams");
        return;
    }
    const fleet::UpstreamChoice choice = choose(now);
    if (choice.upstream == nullptr) {
        waitForCapacity(now, choice);
        return;
    }
    startAttempt(now, choice);
}

void Exchange::waitForCapacity(TimePoint now, const fleet::UpstreamChoice &choice)
{
    if (choice.wait < m_capacityDeadline - now) {
        m_waitTimer.set(capacityPollPeriod);
        return;
    }
    if (!m_attempts.empty()) {
        return; // another attempt is still in progress
    }
    if (m_mayHaveRun) {
        fail(now, badGateway, fleet::reasonName(choice.reason));
        return;
    }
    if (choice.reason == fleet::ChoiceReason::NoRoom) {
        const Duration least = fromSeconds(toSeconds(minimumRetryAfter) * capacityUse(now).retryAfterFactor);
        refuse(now, fleet::reasonName(choice.reason), std::max(choice.retryAfter, least));
        return;
    }
    refuse(now, fleet::reasonName(choice.reason), choice.retryAfter);
}

Duration Exchange::maximumIdle() const
{
    return idempotent() ? maximumIdleIdempotent : maximumIdleUnsafe;
}

void Exchange::startAttempt(TimePoint now, const fleet::UpstreamChoice &choice)
{
    fleet::UpstreamRecord &record = *choice.upstream;
    ++m_attemptCount;
    m_tried.push_back(record.entry.id);
    m_context.crashes.onAttempt(now, m_fingerprint);
    if (const auto notice = m_context.upstreams.beginAttempt(now, record)) {
        m_context.reportEvents(*notice);
    }
    logChoice(m_requestId, m_service, choice, *m_table, m_attemptCount);
    Attempt::Hooks hooks;
    hooks.onHead = [this](const Attempt &attempt) {
        recordSignals(attempt);
    };
    hooks.onEnd = [this](Attempt &attempt) {
        attemptEnded(attempt);
    };
    hooks.onBufferFull = [this](Attempt &attempt) {
        return beginStreaming(attempt);
    };
    hooks.onBodyChunk = [this](Attempt &attempt, std::string_view bytes) {
        forwardChunk(attempt, bytes);
    };
    m_attempts.push_back(std::make_unique<Attempt>(m_context.pool, m_context.protocol, record.entry, std::move(hooks)));
    const AttemptRequest request{
        &m_request.head, &m_request.body, m_requestId, m_deadline - now, maximumIdle(), callerIdentity(), m_context.memory};
    m_attempts.back()->start(now, request);
}

void Exchange::attemptEnded(Attempt &attempt)
{
    const TimePoint now = net::now();
    const AnswerClassification classification = attempt.result().classification;
    recordOutcome(now, attempt, classification.outcome);
    m_context.metrics.countAttempt(m_service.value, classification.reason);
    logAttempt(m_requestId, m_service, attempt, m_fingerprint, now);
    const auto position = std::find_if(m_attempts.begin(), m_attempts.end(), [&attempt](const auto &other) {
        return other.get() == &attempt;
    });
    m_endedAttempts.push_back(std::move(*position));
    m_attempts.erase(position);
    if (m_streaming == &attempt) {
        if (classification.end == routing::AttemptEnd::Answered) {
            m_caller.finish();
            finish(now, attempt.result().head.status, "streamed");
        } else {
            m_caller.abort();
            finish(now, 0, "broken-stream");
        }
        return;
    }
    m_lostConnections += attempt.result().connectionLost ? 1 : 0;
    m_possibleRuns += routing::mayHaveRun(classification.end) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || routing::mayHaveRun(classification.end);
    limits::FleetRetryBudget &budget = m_context.budgetOf(m_service);
    const bool unreachable = classification.end == routing::AttemptEnd::Unreachable;
    const bool allowed = classification.end != routing::AttemptEnd::Answered && !unreachable && budget.allows(now);
    const routing::NextStep step = routing::nextStep({route().repeatability,
                                                      classification.end,
                                                      m_mayHaveRun,
                                                      m_possibleRuns,
                                                      m_attemptCount,
                                                      std::max(1, route().maxAttempts),
                                                      allowed,
                                                      m_deadline - now});
    if (classification.end != routing::AttemptEnd::Answered && !m_attempts.empty()) {
        return; // the hedged attempt may still be answered
    }
    switch (step) {
    case routing::NextStep::Deliver:
        sendAnswer(attempt);
        return;
    case routing::NextStep::Retry:
        if (!unreachable) {
            static_cast<void>(budget.tryRetry(now));
        }
        retry(now);
        return;
    case routing::NextStep::RefuseNotRun:
        refuse(now, classification.reason, choose(now).retryAfter);
        return;
    case routing::NextStep::FailUnknown:
        fail(now, badGateway, classification.reason);
        return;
    }
}

void Exchange::retry(TimePoint now)
{
    if (m_lostConnections >= suspiciousLostConnections) {
        m_waitTimer.set(crashProofTime);
    } else {
        tryAttempt(now);
    }
}

bool Exchange::hedgeDue(TimePoint now) const
{
    if (!idempotent() || m_attempts.size() != 1 || m_streaming != nullptr || m_attemptCount >= std::max(1, route().maxAttempts)) {
        return false;
    }
    const double typicalLatencySeconds = m_context.upstreams.medianLatencySeconds(m_service);
    const Duration threshold = std::max(minimumHedgeDelay, fromSeconds(typicalLatencySeconds * hedgeLatencyFactor));
    return m_attempts.front()->age(now) > threshold;
}

void Exchange::tick(TimePoint now)
{
    if (m_done) {
        return;
    }
    if (m_streaming != nullptr) {
        if (m_caller.unsent() <= unsentLimit() / 2) {
            m_streaming->pauseReading(false);
        }
        return;
    }
    const double typicalLatencySeconds = m_context.upstreams.medianLatencySeconds(m_service);
    const Duration overdue = std::max(minimumOverdueTime, fromSeconds(typicalLatencySeconds * overdueLatencyFactor));
    for (const auto &attempt : m_attempts) {
        attempt->resumeBuffering();
        const fleet::UpstreamEntry &upstream = attempt->upstream();
        if (attempt->age(now) > overdue && attempt->markOverdue()) {
            m_context.upstreams.recordOverdue(now, upstream.id, upstream.incarnation);
            m_context.reportEvents({fleet::upstreamKey(upstream.id, upstream.incarnation), 1, 0});
        }
    }
    limits::FleetRetryBudget &budget = m_context.budgetOf(m_service);
    if (hedgeDue(now) && budget.allows(now) && !m_context.crashes.refused(now, m_fingerprint)) {
        const fleet::UpstreamChoice choice = choose(now);
        constexpr double maximumHedgeFaultProbability = 0.4;
        if (choice.upstream != nullptr && choice.grayProbability < maximumHedgeFaultProbability) {
            static_cast<void>(budget.tryRetry(now));
            startAttempt(now, choice);
        }
    }
}

bool Exchange::done() const
{
    return m_done;
}

} // namespace jackdawdoor::proxy
