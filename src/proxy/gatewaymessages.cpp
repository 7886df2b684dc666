// Gateway: messages between instances.
#include "fleet/concurrentplacement.h"
#include "proxy/gateway.h"
#include "proxy/proxylog.h"
#include "telemetry/log.h"

#include <algorithm>

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

/** Interval of load reports to all instances, which repairs lost messages and tells the instances without callers. It grows
 * with the number of instances, so that an instance sends a bounded number of these datagrams in a second. */
constexpr Duration minimumBroadcastPeriod = std::chrono::milliseconds{1000};
constexpr int broadcastDatagramsPerSecond = 50;
/** Changed upstreams in one datagram, at about 120 bytes each. */
constexpr std::size_t maximumDeltaEntries = 40;
/** Datagrams for one change; peers fetch larger changes over TCP. */
constexpr std::size_t maximumDeltaParts = 12;
/** An instance counts as serving when it got this many requests in the window. The threshold is above the operator's own
 * checks, which are about one per second and instance. */
constexpr Duration recentRequestsWindow = std::chrono::seconds{2};
constexpr double minimumServingRequests = 4;
constexpr Duration noticePeriod = std::chrono::milliseconds{250};
/** Interval at which an instance without a current copy asks a random other one. */
constexpr Duration peerNoticePeriod = std::chrono::milliseconds{500};
/** Two instances of which each knows something newer would answer each other until both have fetched it. */
constexpr Duration noticeAnswerPeriod = std::chrono::milliseconds{20};

Duration broadcastPeriod(std::size_t instances)
{
    return std::max(minimumBroadcastPeriod, fromSeconds(static_cast<double>(instances) / broadcastDatagramsPerSecond));
}

} // namespace

void Gateway::sendReports(TimePoint now)
{
    if (now >= m_nextReport) {
        m_nextReport = now + fleet::loadReportPeriod;
        fleet::LoadReport report = m_context.upstreams.takeOwnReport();
        m_context.fillReport(report);
        report.serving = updateServing(report.demand);
        // An instance that begins to serve must be known to the others at once.
        const bool begins = report.serving && !m_serving;
        m_serving = report.serving;
        const bool hasContent = report.serving || !report.items.empty() || !report.demand.empty() || !report.failures.empty();
        if (report.serving && (begins || now >= m_nextBroadcast)) {
            m_nextBroadcast = now + broadcastPeriod(m_membership.view()->members.size());
            broadcast(report);
        } else if (hasContent) {
            for (const auto &[instance, at] : m_servingInstances) {
                send({instance, 0}, report);
            }
        }
    }
    if (now >= m_nextNotice && m_storeReplica->readsStore(now)) {
        m_nextNotice = now + noticePeriod;
        sendInDataCentre(m_storeReplica->notice(now));
    } else if (now >= m_nextNotice && m_storeReplica->needsPeers(now)) {
        m_nextNotice = now + peerNoticePeriod;
        sendToRandom(m_storeReplica->notice(now));
    }
}

/** Answers an instance that asks for a newer copy of the store's contents, but not more often than it can fetch them. */
void Gateway::answerNotice(TimePoint now, const InstanceRef &from, const fleet::StoreNotice &notice)
{
    if (now >= m_nextNoticeAnswer && m_storeReplica->canHelp(now, notice)) {
        m_nextNoticeAnswer = now + noticeAnswerPeriod;
        send(from, m_storeReplica->notice(now));
    }
}

/** Adds the requests since the last report to the decaying count. Returns true while callers use this instance. */
bool Gateway::updateServing(const std::vector<fleet::DemandItem> &demand)
{
    m_recentRequests *= 1 - toSeconds(fleet::loadReportPeriod) / toSeconds(recentRequestsWindow);
    for (const fleet::DemandItem &item : demand) {
        m_recentRequests += item.requests;
    }
    return m_recentRequests >= minimumServingRequests;
}

void Gateway::send(const InstanceRef &to, const fleet::FleetMessage &message)
{
    sendToAddress(m_membership.addressOf(to), message);
}

void Gateway::sendToAddress(const std::string &address, const fleet::FleetMessage &message)
{
    const auto endpoint = settings::parseEndpoint(address);
    if (endpoint.has_value()) {
        m_datagrams.send(endpoint.value(), fleet::encodeDatagram({m_membership.self(), message}));
    }
}

void Gateway::sendToMembers(const fleet::FleetMessage &message, const std::function<bool(const membership::Member &)> &wanted)
{
    const std::string bytes = fleet::encodeDatagram({m_membership.self(), message});
    for (const membership::Member *member : m_membership.view()->live()) {
        const auto endpoint = settings::parseEndpoint(member->address);
        if (member->ref.id != m_settings.instance && wanted(*member) && endpoint.has_value()) {
            m_datagrams.send(endpoint.value(), bytes);
        }
    }
}

void Gateway::broadcast(const fleet::FleetMessage &message)
{
    sendToMembers(message, [](const membership::Member &) {
        return true;
    });
}

/** Sends to the instances that report on quotas, and to those that serve requests and may need the reports soon. */
void Gateway::sendToReporters(const std::vector<InstanceId> &reporters, const fleet::FleetMessage &message)
{
    sendToMembers(message, [this, &reporters](const membership::Member &member) {
        return m_servingInstances.contains(member.ref.id) || std::binary_search(reporters.begin(), reporters.end(), member.ref.id);
    });
}

/** Sends to the live instances that are not known to serve requests. */
void Gateway::broadcastToOthers(const fleet::FleetMessage &message)
{
    sendToMembers(message, [this](const membership::Member &member) {
        return !m_servingInstances.contains(member.ref.id);
    });
}

void Gateway::sendInDataCentre(const fleet::FleetMessage &message)
{
    sendToMembers(message, [this](const membership::Member &member) {
        return member.dataCentre == m_settings.dataCentre;
    });
}

void Gateway::sendToRandom(const fleet::FleetMessage &message)
{
    const auto live = m_membership.view()->live();
    const membership::Member *member = live.empty() ? nullptr : live[m_context.random() % live.size()];
    if (member != nullptr && member->ref.id != m_settings.instance) {
        sendToAddress(member->address, message);
    }
}

void Gateway::reportEvents(const fleet::NoticeItem &item)
{
    m_servingNotices.add(item);
    m_otherNotices.add(item);
    scheduleNotices(net::now());
}

void Gateway::scheduleNotices(TimePoint now)
{
    const Duration wait = std::min(m_servingNotices.timeUntilDue(now), m_otherNotices.timeUntilDue(now));
    if (wait != Duration::max()) {
        m_noticeTimer.set(wait);
    }
}

void Gateway::sendNotices(TimePoint now)
{
    if (m_servingNotices.due(now)) {
        m_servingNotices.setReceivers(m_servingInstances.size());
        const fleet::UpstreamNotice notice = m_servingNotices.take(now);
        for (const auto &[instance, at] : m_servingInstances) {
            send({instance, 0}, notice);
        }
    }
    if (m_otherNotices.due(now)) {
        m_otherNotices.setReceivers(m_membership.view()->members.size());
        broadcastToOthers(m_otherNotices.take(now));
    }
    scheduleNotices(now);
}

void Gateway::shareDelta(const fleet::UpstreamDelta &delta)
{
    // If every instance of the data centre fetched a large change instead, the reader would answer too slowly.
    const std::vector<fleet::UpstreamDelta> parts = fleet::splitDelta(delta, maximumDeltaEntries);
    if (parts.size() <= maximumDeltaParts) {
        for (const fleet::UpstreamDelta &part : parts) {
            sendInDataCentre(part);
        }
    }
}

void Gateway::sendMembership(const membership::MembershipMessages &messages)
{
    for (const auto &outgoing : messages) {
        send(outgoing.to, outgoing.message);
    }
}

void Gateway::receive(std::string_view bytes)
{
    const auto datagram = fleet::decodeDatagram(bytes);
    if (!datagram) {
        telemetry::writeLog(LogLevel::Warning, "receive datagram", "the datagram is malformed");
        return;
    }
    if (datagram->from.id != m_settings.instance) {
        dispatch(*datagram);
    }
}

void Gateway::dispatch(const fleet::FleetDatagram &datagram)
{
    const TimePoint now = net::now();
    if (const auto *report = std::get_if<fleet::LoadReport>(&datagram.message)) {
        if (report->serving) {
            m_servingInstances[datagram.from.id] = now;
        }
        m_context.upstreams.applyLoadReport(now, datagram.from.id, *report);
        m_context.addPeerReport(now, *report);
    } else if (const auto *events = std::get_if<fleet::UpstreamNotice>(&datagram.message)) {
        for (const fleet::UpstreamEntry &leaving : m_context.upstreams.applyNotice(now, *events)) {
            m_context.metrics.countLeaving("other-instance");
            logLeaving(leaving, datagram.from.id.value);
        }
    } else if (const auto *misdirected = std::get_if<fleet::MisdirectedNotice>(&datagram.message)) {
        m_context.upstreams.applyMisdirectedNotice(now, *misdirected);
    } else if (const auto *crash = std::get_if<fleet::CrashNotice>(&datagram.message)) {
        m_context.crashes.receive(now, {{{crash->request, 0, {}, {crash->key}}}}, datagram.from.id);
    } else if (const auto *crashes = std::get_if<fleet::CrashReport>(&datagram.message)) {
        m_context.crashes.receive(now, *crashes, datagram.from.id);
    } else if (const auto *quotas = std::get_if<fleet::QuotaReport>(&datagram.message)) {
        m_context.quotas.receive(now, datagram.from, *quotas);
    } else if (const auto *notice = std::get_if<fleet::StoreNotice>(&datagram.message)) {
        const auto address = settings::parseEndpoint(m_membership.addressOf(datagram.from));
        if (address.has_value()) {
            m_storeReplica->onNotice(now, *notice, address.value());
        }
        answerNotice(now, datagram.from, *notice);
    } else if (const auto *delta = std::get_if<fleet::UpstreamDelta>(&datagram.message)) {
        m_storeReplica->applyDelta(*delta);
    } else if (const auto *membership = std::get_if<membership::MembershipMessage>(&datagram.message)) {
        sendMembership(m_membership.onPeerMessage(now, datagram.from, *membership));
    }
}

void Gateway::logSendFailures()
{
    const std::uint64_t sendFailures = m_datagrams.sendFailures();
    if (sendFailures > m_loggedSendFailures) {
        telemetry::writeLog(LogLevel::Warning,
                            "send datagrams",
                            "the kernel did not accept some datagrams; they are dropped",
                            {{"datagrams", std::to_string(sendFailures - m_loggedSendFailures)}});
    }
    m_loggedSendFailures = sendFailures;
}

} // namespace jackdawdoor::proxy
