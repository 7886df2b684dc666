#include "proxy/quotacontrol.h"

#include "base/stablehash.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

/** Interval at which due reports are looked for. */
constexpr Duration sendPeriod = std::chrono::milliseconds{10};
/** Messages that this instance has no requests of organisations with a quota any more; some may be lost. */
constexpr int farewellRepeats = 3;
/** In a fleet of at most this size each report goes to all instances. In a larger one instances without callers get none, since
 * the bytes grow with the square of the fleet. */
constexpr std::size_t smallFleet = 16;
/** Callers use an instance with this many requests in about that time. The operator's checks are about one in a second. */
constexpr double minimumServingRequests = 4;
constexpr Duration recentRequestsTime = std::chrono::seconds{2};
constexpr Duration expiryPeriod = std::chrono::seconds{1};
/** Minimum time between two log lines of a kind; an organisation over its quota causes thousands of refusals in a second. */
constexpr Duration linePeriod = std::chrono::milliseconds{200};

std::uint64_t keyOf(const routing::Organisation &organisation)
{
    return stableHash(organisation.name.value);
}

std::string numberText(double value)
{
    char text[32];
    const int length = std::snprintf(text, sizeof(text), "%.2f", value);
    return {text, static_cast<std::size_t>(length)};
}

} // namespace

QuotaControl::QuotaControl(net::EventLoop &loop, ProxyMetrics &metrics, std::uint64_t seed)
    : m_metrics(metrics)
    , m_quota(net::now(),
              seed,
              [this](std::uint64_t key) {
                  const auto found = m_limits.find(key);
                  return found == m_limits.end() ? limits::QuotaLimit{} : found->second;
              })
    , m_timer(loop, [this] {
        sendReports();
    })
{
}

void QuotaControl::setHooks(QuotaHooks hooks)
{
    m_hooks = std::move(hooks);
}

void QuotaControl::setOrganisations(const routing::OrganisationTable &table)
{
    m_limits.clear();
    for (const routing::Organisation &organisation : table.organisations()) {
        if (organisation.requestsPerSecond > 0) {
            m_limits[keyOf(organisation)] = {organisation.requestsPerSecond, organisation.burst};
        }
    }
}

limits::QuotaDecision QuotaControl::admit(TimePoint now, const routing::Organisation &organisation, const std::string &requestId)
{
    if (!(organisation.requestsPerSecond > 0)) {
        return {};
    }
    const limits::QuotaDecision decision = m_quota.admit(now, keyOf(organisation), {organisation.requestsPerSecond, organisation.burst});
    m_metrics.countQuota(decision.admitted ? "admitted" : "refused");
    decayRequests(now);
    m_recentRequests += 1;
    if (!decision.admitted) {
        logRefusal(now, organisation, requestId, decision);
    }
    if (!m_sending && !m_left) {
        m_sending = true;
        m_timer.set(Duration::zero());
    }
    return decision;
}

void QuotaControl::giveBack(TimePoint now, const routing::Organisation &organisation)
{
    if (organisation.requestsPerSecond > 0) {
        m_quota.giveBack(now, keyOf(organisation));
        m_metrics.countQuota("given-back");
    }
}

void QuotaControl::receive(TimePoint now, const InstanceRef &from, const fleet::QuotaReport &report)
{
    const int invalid = m_quota.receive(now, from, report);
    if (invalid > 0) {
        m_metrics.countInvalidQuotaItems(invalid);
        logInvalid(now, from, invalid);
    }
}

void QuotaControl::forget(const InstanceId &instance)
{
    m_quota.forget(instance);
}

void QuotaControl::tick(TimePoint now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryPeriod;
    updateServing(now);
    if (!m_sending || !m_serving) {
        sendFarewell(now);
    }
    m_quota.expire(now);
    m_metrics.setQuotaState(m_quota.buckets(), m_quota.visibleShare(now));
}

void QuotaControl::leave(TimePoint now)
{
    m_left = true;
    sendFarewell(now);
}

void QuotaControl::sendFarewell(TimePoint now)
{
    if (m_farewells > 0 && m_hooks.broadcast) {
        --m_farewells;
        m_hooks.broadcast(m_quota.farewell(now));
    }
}

void QuotaControl::decayRequests(TimePoint now)
{
    const double age = toSeconds(now - std::exchange(m_decayed, now));
    m_recentRequests *= std::exp(-age / toSeconds(recentRequestsTime));
}

/** An instance that callers leave tells the others, so that they don't take its silence for a cut. */
void QuotaControl::updateServing(TimePoint now)
{
    decayRequests(now);
    const bool served = std::exchange(m_serving, m_recentRequests >= minimumServingRequests);
    m_quota.setServing(now, m_serving);
    if (served && !m_serving) {
        sendFarewell(now);
    }
}

void QuotaControl::sendReports()
{
    const TimePoint now = net::now();
    m_sending = !m_left && m_quota.active(now) && m_hooks.send;
    if (!m_sending) {
        return; // tick() tells the others
    }
    updateServing(now);
    m_farewells = m_serving ? farewellRepeats : m_farewells;
    const std::vector<InstanceId> reporters = m_quota.reporters();
    const std::size_t members = m_hooks.members();
    // Instances without requests of these organisations follow too, so that they know the balance when callers move to them.
    const bool toAll = m_serving && members <= smallFleet;
    for (const fleet::QuotaReport &report : m_quota.takeReport(now, toAll ? members : reporters.size())) {
        if (toAll) {
            m_hooks.broadcast(report);
        } else {
            m_hooks.send(reporters, report);
        }
    }
    m_timer.set(sendPeriod);
}

void QuotaControl::logRefusal(TimePoint now,
                              const routing::Organisation &organisation,
                              const std::string &requestId,
                              const limits::QuotaDecision &decision)
{
    if (now < m_nextRefusalLine) {
        ++m_unloggedRefusals;
        return;
    }
    m_nextRefusalLine = now + linePeriod;
    telemetry::writeLog(LogLevel::Info,
                        "quota",
                        "the organisation is over its quota",
                        {{"organisation", organisation.name.value},
                         {"request", requestId},
                         {"balance", numberText(decision.balance)},
                         {"knowledge-age-ms", numberText(toMilliseconds(decision.reportAge))},
                         {"rate", numberText(organisation.requestsPerSecond)},
                         {"burst", numberText(organisation.burst)},
                         {"visible-share", numberText(m_quota.visibleShare(now))},
                         {"retry-after-s", numberText(toSeconds(decision.retryAfter))},
                         {"unlogged", std::to_string(m_unloggedRefusals)}});
    m_unloggedRefusals = 0;
}

void QuotaControl::logInvalid(TimePoint now, const InstanceRef &from, int items)
{
    if (now < m_nextInvalidLine) {
        return;
    }
    m_nextInvalidLine = now + linePeriod;
    telemetry::writeLog(LogLevel::Warning,
                        "quota",
                        "items of a quota report are invalid or name no quota here; they change nothing",
                        {{"instance", from.id.value}, {"items", std::to_string(items)}});
}

} // namespace jackdawdoor::proxy
