// Gateway: the graceful stop.
#include "proxy/gateway.h"
#include "telemetry/boundedlog.h"
#include "telemetry/log.h"

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

/** New requests are still accepted for this long after the stop signal, while callers learn that this instance leaves. */
constexpr Duration stopAdmissionPeriod = std::chrono::milliseconds{2600};
/** Remaining grace period at which requests in progress get their final answer. */
constexpr Duration finalAnswerReserve = std::chrono::milliseconds{450};
/** Remaining grace period at which the process exits even with undelivered answers; longer than a tick. */
constexpr Duration exitReserve = std::chrono::milliseconds{150};

} // namespace

void Gateway::beginStop(StopHooks hooks)
{
    if (m_stop) {
        return;
    }
    m_stop = std::move(hooks);
    m_stopBegin = net::now();
    telemetry::writeLog(LogLevel::Info, "stop", "draining", {{"requests", std::to_string(m_proxy.requests())}});
    sendMembership(m_membership.beginLeave(m_stopBegin));
    m_proxy.beginStop();
}

std::size_t Gateway::undeliveredAnswers(TimePoint now) const
{
    return m_proxy.undeliveredAnswers() + m_peerServer.undeliveredAnswers(now) + m_metricsServer.undeliveredAnswers(now)
           + m_stop->undeliveredAnswers(now);
}

void Gateway::advanceStop(TimePoint now)
{
    const Duration elapsed = now - m_stopBegin;
    if (elapsed >= stopAdmissionPeriod) {
        m_context.stopping = true;
        m_context.quotas.leave(now);
        m_proxy.closeIdle();
    }
    const bool atEnd = elapsed >= m_settings.stopGracePeriod - finalAnswerReserve;
    if (atEnd) {
        m_proxy.endRequests();
    }
    const bool answered = m_context.stopping && m_proxy.requests() == 0;
    if (atEnd || (answered && m_proxy.undeliveredAnswers() == 0)) {
        // Not earlier, since callers and the platform still ask a process that runs.
        m_peerServer.closeIdle();
        m_metricsServer.closeIdle();
        m_stop->closeServers();
    }
    const std::size_t undelivered = undeliveredAnswers(now);
    const bool finished = answered && undelivered == 0;
    if (m_context.stopping && (finished || elapsed >= m_settings.stopGracePeriod - exitReserve)) {
        telemetry::writeLog(finished ? LogLevel::Info : LogLevel::Warning,
                            "stop",
                            finished ? "all requests have ended" : "the grace period is over",
                            {{"undelivered", std::to_string(undelivered)}});
        telemetry::flushLog();
        m_stop->onStopped();
    }
}

} // namespace jackdawdoor::proxy
