#include "proxy/crashdetector.h"

#include "fleet/upstreamtable.h"
#include "proxy/proxylog.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Minimum time between two messages with new findings. */
constexpr Duration sharePeriod = std::chrono::milliseconds{50};
/** Datagrams with new findings that one instance may cause in a second. When many upstreams end at once, all requests that were
 * in progress there become suspects. */
constexpr int sharedDatagramsPerSecond = 500;
/** Interval at which the latest findings are sent to a random instance. A new instance gets them from the others, each of which
 * chooses it once in as many intervals as there are instances, so about twice in a second. */
constexpr Duration repeatPeriod = std::chrono::milliseconds{500};
/** Findings in one message, at about 42 bytes each with one crash, so that a message fits a packet. */
constexpr std::size_t maximumSharedRecords = 28;
constexpr std::size_t maximumRepeatedRecords = 16;

} // namespace

CrashDetector::CrashDetector(net::EventLoop &loop, RandomSource &random, ProxyMetrics &metrics)
    : m_random(random)
    , m_metrics(metrics)
    , m_tracker(uniform(random))
    , m_checks(loop,
               [this](const fleet::UpstreamEntry &upstream) {
                   onUnreachable(net::now(), fleet::upstreamKey(upstream.id, upstream.incarnation));
               })
    , m_pacer(sharePeriod, sharedDatagramsPerSecond)
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
    if (m_tracker.empty()) {
        return; // the usual case
    }
    for (const std::uint64_t identity : request.identities()) {
        m_tracker.recordAttempt(now, identity);
    }
}

void CrashDetector::onUnanswered(TimePoint now,
                                 const fleet::RequestFingerprint &request,
                                 const fleet::UpstreamEntry &upstream,
                                 bool listed,
                                 TimePoint begun)
{
    const std::uint32_t key = fleet::upstreamKey(upstream.id, upstream.incarnation);
    for (const std::uint64_t identity : request.identities()) {
        m_tracker.recordBrokenConnection(now, identity, key, begun);
    }
    if (listed) {
        m_checks.start(now, upstream);
    } else {
        attribute(now, m_tracker.recordRemoved(now, key), key);
    }
}

void CrashDetector::onAnswer(TimePoint now, const fleet::RequestFingerprint &request)
{
    if (m_tracker.empty()) {
        return; // the usual case
    }
    for (const std::uint64_t identity : request.identities()) {
        if (m_tracker.recordAnswer(now, identity)) {
            m_unshared.insert(identity);
        }
    }
    share(now);
}

void CrashDetector::onUnreachable(TimePoint now, std::uint32_t upstream)
{
    attribute(now, m_tracker.recordUnreachable(now, upstream), upstream);
}

void CrashDetector::onRemoved(TimePoint now, const std::vector<std::uint32_t> &upstreams)
{
    for (const std::uint32_t upstream : upstreams) {
        attribute(now, m_tracker.recordRemoved(now, upstream), upstream);
    }
}

void CrashDetector::attribute(TimePoint now, const std::vector<std::uint64_t> &requests, std::uint32_t upstream)
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
        const bool refusedBefore = m_tracker.refused(now, record.request);
        if (!m_tracker.merge(now, record) || record.upstreams.empty()) {
            continue;
        }
        m_metrics.countCrash("other-instance");
        // When a whole service ends, there are many suspects, and all instances learn of each.
        if (!refusedBefore && m_tracker.refused(now, record.request)) {
            logCrash(record.request, record.upstreams, m_tracker.crashes(record.request), from.value);
        }
    }
}

std::vector<fleet::CrashRecord> CrashDetector::takeUnshared(TimePoint now)
{
    std::vector<fleet::CrashRecord> records;
    for (const std::uint64_t request : m_unshared) {
        records.push_back(m_tracker.record(now, request));
    }
    // Records that lead to a refusal first; the others may wait.
    std::stable_sort(records.begin(), records.end(), [](const fleet::CrashRecord &first, const fleet::CrashRecord &second) {
        return first.upstreams.size() > second.upstreams.size();
    });
    records.resize(std::min(records.size(), maximumSharedRecords));
    for (const fleet::CrashRecord &record : records) {
        m_unshared.erase(record.request);
    }
    return records;
}

void CrashDetector::share(TimePoint now)
{
    if (m_unshared.empty() || m_pacer.timeUntilDue(now) > Duration::zero()) {
        return;
    }
    m_pacer.recordSent(now);
    const fleet::CrashReport report{takeUnshared(now)};
    scheduleRepeats(report.records);
    m_hooks.broadcast(report);
}

void CrashDetector::scheduleRepeats(const std::vector<fleet::CrashRecord> &records)
{
    // With more findings than fit one message, for example when a whole service ends, repeats would delay new ones.
    const bool few = m_unshared.empty();
    for (const fleet::CrashRecord &record : records) {
        if (m_repeated.erase(record.request) == 0 && few) {
            m_repeats.insert(record.request);
        }
    }
}

void CrashDetector::startRepeats()
{
    for (const std::uint64_t request : m_repeats) {
        if (m_unshared.insert(request).second) {
            m_repeated.insert(request);
        }
    }
    m_repeats.clear();
}

void CrashDetector::tick(TimePoint now, std::size_t instances)
{
    m_pacer.setReceivers(instances);
    startRepeats();
    share(now);
    if (now < m_nextRepeat) {
        return;
    }
    m_nextRepeat = now + repeatPeriod;
    m_tracker.expire(now);
    m_checks.expire(now);
    const fleet::CrashReport report{m_tracker.records(now, maximumRepeatedRecords)};
    if (!report.records.empty()) {
        m_hooks.sendToRandom(report);
    }
}

} // namespace jackdawdoor::proxy
