#include "configuration/versiontable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawdoor::configuration {

VersionTable::VersionTable(ContractCompiler compile)
    : m_compile(std::move(compile))
{
}

std::vector<PublishDecision> VersionTable::applyPage(TimePoint now, const LogPage &page)
{
    if (page.firstRetained > m_next) {
        startWindow(page.firstRetained);
    }
    m_timeIndex.expireBefore(page.firstRetained);
    Decisions decisions;
    for (const LogEntry &entry : page.entries) {
        if (entry.offset < m_next) {
            continue;
        }
        const TimePoint appended = now - entry.age;
        m_timeIndex.add(entry.offset, appended, page.retention);
        apply(appended, entry, decisions);
        m_next = entry.offset + 1;
    }
    m_next = std::max(m_next, page.nextOffset);
    return decisions;
}

/** Records between the old window and the new one were missed: decided states stay, but can't follow the log. */
void VersionTable::startWindow(Offset start)
{
    m_absentAsOf = absentAsOf();
    m_waitingBytes = 0;
    for (auto &[customer, history] : m_histories) {
        history.advanceAsOf(m_windowStart, m_next);
        history.startWindow(start);
        m_waitingBytes += history.waitingBytes();
    }
    m_windowStart = start;
    m_next = start;
}

void VersionTable::apply(TimePoint appended, const LogEntry &entry, Decisions &decisions)
{
    std::optional<LogRecord> record = decodeRecord(entry.record);
    if (!record) {
        return;
    }
    std::visit(
        [&](auto &typed) {
            applyRecord(appended, entry.offset, std::move(typed), decisions);
        },
        *record);
}

void VersionTable::applyRecord(TimePoint, Offset offset, Publish publish, Decisions &decisions)
{
    CustomerHistory &history = historyOf(publish.customer);
    const Version versionBefore = versionOf(publish.customer);
    const std::size_t bytesBefore = history.waitingBytes();
    Decisions made = history.publish(offset, std::move(publish), m_windowStart, m_compile);
    recordChanges(history, versionBefore, bytesBefore, std::move(made), decisions);
    if (m_waitingBytes > maximumWaitingBytes) {
        m_waitingBytes -= history.waitingBytes();
        history.dropWaiting(offset + 1);
    }
}

void VersionTable::applyRecord(TimePoint, Offset offset, const Snapshot &snapshot, Decisions &decisions)
{
    // A version is an offset plus 1, and a snapshot can't take records after its own offset into account.
    if (snapshot.version == 0 || snapshot.version > snapshot.asOf || snapshot.asOf > offset) {
        return;
    }
    CustomerHistory &history = historyOf(snapshot.customer);
    history.latestSnapshotOffset = offset;
    const bool usable = snapshot.asOf >= history.windowStart(m_windowStart);
    const bool canFollowLog = history.canFollowLog(m_windowStart);
    // A history that follows the log gains nothing from a snapshot. One that has no version and can't follow the log from
    // the snapshot ignores it, since a late writer may have appended an outdated version.
    if (!canFollowLog && (usable || versionOf(snapshot.customer) > 0)) {
        mergeInto(history, CustomerState{snapshot.customer, snapshot.version, snapshot.asOf, snapshot.body}, decisions);
    }
    const bool versionKnown = history.state() && snapshot.version <= history.state()->version;
    if (usable && versionKnown && (!history.checkpoint || snapshot.asOf > history.checkpoint->offset)) {
        history.checkpoint = Checkpoint{snapshot.asOf, *m_timeIndex.timeOf(snapshot.asOf)};
    }
}

void VersionTable::applyRecord(TimePoint appended, Offset offset, const CycleEnd &cycleEnd, Decisions &decisions)
{
    if (cycleEnd.asOf > offset) {
        return;
    }
    mergeCycleEnd(Checkpoint{cycleEnd.asOf, appended});
    if (cycleEnd.asOf >= m_windowStart) {
        markAbsent(cycleEnd.asOf, true, decisions);
    }
}

void VersionTable::mergeCycleEnd(const Checkpoint &cycleEnd)
{
    if (!m_cycleEnd || cycleEnd.offset > m_cycleEnd->offset) {
        m_cycleEnd = cycleEnd;
    }
}

/** Records that customers without a version did not exist before this offset. With `unlessSnapshot`, after a CycleEnd,
 * this excludes customers with a snapshot record since its asOf, even one that could not be used. */
void VersionTable::markAbsent(Offset asOf, bool unlessSnapshot, Decisions &decisions)
{
    m_absentAsOf = std::max(m_absentAsOf, asOf);
    for (auto &[customer, history] : m_histories) {
        const bool exists = history.state() && history.state()->version > 0;
        const bool excluded = unlessSnapshot && history.latestSnapshotOffset && *history.latestSnapshotOffset >= asOf;
        if (!exists && !excluded) {
            mergeInto(history, CustomerState{customer, 0, asOf, std::nullopt}, decisions);
        }
    }
}

std::vector<PublishDecision> VersionTable::merge(const CustomerState &state)
{
    if (state.version == 0 || state.version > state.asOf || state.customer.empty()) {
        return {};
    }
    Decisions decisions;
    mergeInto(historyOf(state.customer), state, decisions);
    return decisions;
}

std::vector<PublishDecision> VersionTable::mergeSummary(TimePoint now, const Summary &summary)
{
    const auto found = m_histories.find(summary.customer);
    if (found == m_histories.end() || summary.version == 0 || versionOf(summary.customer) != summary.version) {
        return {};
    }
    CustomerHistory &history = found->second;
    if (summary.checkpoint && (!history.checkpoint || *summary.checkpoint > history.checkpoint->offset)) {
        history.checkpoint = Checkpoint{*summary.checkpoint, now - summary.checkpointAge};
    }
    Decisions decisions;
    mergeInto(history, CustomerState{summary.customer, summary.version, summary.asOf, std::nullopt}, decisions);
    return decisions;
}

std::vector<PublishDecision> VersionTable::adoptComplete(Offset asOf)
{
    Decisions decisions;
    if (asOf > m_next) {
        startWindow(asOf);
    }
    markAbsent(asOf, false, decisions);
    for (auto &[customer, history] : m_histories) {
        const CustomerState state{customer, history.state()->version, asOf, std::nullopt};
        mergeInto(history, state, decisions);
    }
    return decisions;
}

void VersionTable::mergeInto(CustomerHistory &history, const CustomerState &state, Decisions &decisions)
{
    const Version versionBefore = history.state() ? history.state()->version : 0;
    const std::size_t bytesBefore = history.waitingBytes();
    history.advanceAsOf(m_windowStart, m_next);
    recordChanges(history, versionBefore, bytesBefore, history.merge(state, m_windowStart, m_compile), decisions);
}

/** Updates memory use, changed customers, checkpoint and decisions after a change of a history. */
void VersionTable::recordChanges(CustomerHistory &history,
                                 Version versionBefore,
                                 std::size_t bytesBefore,
                                 Decisions made,
                                 Decisions &decisions)
{
    m_waitingBytes = m_waitingBytes + history.waitingBytes() - bytesBefore;
    if (history.state() && history.state()->version > versionBefore) {
        m_changed.insert(history.state()->customer);
    }
    for (PublishDecision &decision : made) {
        // A reader that knows the customer did not exist before its first publish can start there.
        const bool created = decision.status == PublishStatus::Accepted && decision.baseVersion == 0;
        const auto time = m_timeIndex.timeOf(decision.offset);
        if (created && time && (!history.checkpoint || decision.offset > history.checkpoint->offset)) {
            history.checkpoint = Checkpoint{decision.offset, *time};
        }
        decisions.push_back(std::move(decision));
    }
}

Offset VersionTable::absentAsOf() const
{
    return m_absentAsOf >= m_windowStart ? std::max(m_absentAsOf, m_next) : m_absentAsOf;
}

CustomerHistory &VersionTable::historyOf(const CustomerId &customer)
{
    const auto [place, isNew] = m_histories.try_emplace(customer, customer);
    if (isNew) {
        place->second.merge(CustomerState{customer, 0, absentAsOf(), std::nullopt}, m_windowStart, m_compile);
    }
    return place->second;
}

} // namespace jackdawdoor::configuration
