#include "proxy/crashdetector.h"

#include "fleet/upstreamtable.h"
#include "proxy/proxylog.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Minimum time between two messages with new findings. */
constexpr Duration sharePeriod = std::chrono::milliseconds{50};
/** Interval at which the latest findings are sent to a random instance. A new instance gets them from the others, each of which
 * chooses it once in as many intervals as there are instances, so about twice in a second. */
constexpr Duration repeatPeriod = std::chrono::milliseconds{500};
/** Findings in one message, at about 30 bytes each. */
constexpr std::size_t maximumSharedRecords = 40;
constexpr std::size_t maximumRepeatedRecords = 16;

} // namespace

CrashDetector::CrashDetector(net::EventLoop &loop, RandomSource &random, ProxyMetrics &metrics)
    : m_random(random)
    , m_metrics(metrics)
    , m_tracker(uniform(random))
    , m_checks(loop,
               [this](const fleet::UpstreamEntry &upstream) {
                   const TimePoint now = net::now();
                   m_hooks.onUnreachable(upstream);
                   onUnreachable(now, fleet::upstreamKey(upstream.id, upstream.incarnation));
               })
    , m_pacer(sharePeriod)
{
}

void CrashDetector::setHooks(CrashDetectorHooks hooks)
{
    m_hooks = std::move(hooks);
}

bool CrashDetector::refused(TimePoint now, const fleet::RequestFingerprint &request) const
{
    return m_tracker.refused(now, request.exact) || m_tracker.refused(now, request.path);
}

std::size_t CrashDetector::crashes(const fleet::RequestFingerprint &request) const
{
    return std::max(m_tracker.crashes(request.exact), m_tracker.crashes(request.path));
}

void CrashDetector::onAttempt(TimePoint now, const fleet::RequestFingerprint &request)
{
    for (const std::uint64_t identity : request.identities()) {
        m_tracker.recordAttempt(now, identity);
    }
}

void CrashDetector::onUnanswered(TimePoint now, const fleet::RequestFingerprint &request, const fleet::UpstreamEntry &upstream, bool listed)
{
    const std::uint32_t key = fleet::upstreamKey(upstream.id, upstream.incarnation);
    for (const std::uint64_t identity : request.identities()) {
        m_tracker.recordBrokenConnection(now, identity, key);
    }
    if (listed) {
        m_checks.start(now, upstream);
    } else {
        charge(now, m_tracker.recordRemoved(now, key), key);
    }
}

void CrashDetector::onAnswer(TimePoint now, const fleet::RequestFingerprint &request)
{
    for (const std::uint64_t identity : request.identities()) {
        if (m_tracker.recordAnswer(now, identity)) {
            m_unshared.insert(identity);
        }
    }
    share(now);
}

void CrashDetector::onUnreachable(TimePoint now, std::uint32_t upstream)
{
    charge(now, m_tracker.recordUnreachable(now, upstream), upstream);
}

void CrashDetector::onRemoved(TimePoint now, const std::vector<std::uint32_t> &upstreams)
{
    for (const std::uint32_t upstream : upstreams) {
        charge(now, m_tracker.recordRemoved(now, upstream), upstream);
    }
}

void CrashDetector::charge(TimePoint now, const std::vector<std::uint64_t> &requests, std::uint32_t upstream)
{
    for (const std::uint64_t request : requests) {
        m_metrics.countCrash("own");
        logCrash(request, {upstream}, m_tracker.crashes(request), "own");
        m_unshared.insert(request);
    }
    share(now);
}

void CrashDetector::receive(TimePoint now, const fleet::CrashReport &report, const InstanceId &from)
{
    for (const fleet::CrashRecord &record : report.records) {
        if (m_tracker.merge(now, record) && !record.upstreams.empty()) {
            m_metrics.countCrash("other-instance");
            logCrash(record.request, record.upstreams, m_tracker.crashes(record.request), from.value);
        }
    }
}

void CrashDetector::share(TimePoint now)
{
    if (m_unshared.empty() || m_pacer.timeUntilDue(now) > Duration::zero()) {
        return;
    }
    fleet::CrashReport report;
    while (!m_unshared.empty() && report.records.size() < maximumSharedRecords) {
        report.records.push_back(m_tracker.record(now, *m_unshared.begin()));
        m_unshared.erase(m_unshared.begin());
    }
    m_pacer.recordSent(now);
    m_hooks.broadcast(report);
}

void CrashDetector::tick(TimePoint now, std::size_t instances)
{
    m_pacer.setReceivers(instances);
    share(now);
    m_tracker.expire(now);
    m_checks.expire(now);
    if (now < m_nextRepeat) {
        return;
    }
    m_nextRepeat = now + repeatPeriod;
    const fleet::CrashReport report{m_tracker.records(now, maximumRepeatedRecords)};
    if (!report.records.empty()) {
        m_hooks.sendToRandom(report);
    }
}

} // namespace jackdawdoor::proxy
