#include "configuration/publishsession.h"

#include <utility>

namespace jackdawdoor::configuration {

namespace {

constexpr std::uint32_t recordsPerRead = 500;

} // namespace

PublishSession::PublishSession(CustomerState base, std::string publishId, std::optional<std::string> body, ContractCompiler compile)
    : m_publish{base.customer, std::move(publishId), base.version, std::move(body)}
    , m_compile(std::move(compile))
    , m_table(m_compile)
{
    // The base's text isn't needed, and this version of the program may be too old to compile it.
    base.body.reset();
    m_table.merge(base);
    m_table.adoptComplete(base.asOf);
}

PublishAction PublishSession::start(TimePoint now)
{
    m_startedAt = now;
    if (m_publish.body && m_publish.body->size() > maximumBodyBytes) {
        const std::string limit = std::to_string(maximumBodyBytes);
        return PublishResult{PublishOutcome::Rejected, m_publish.baseVersion, "the contract is larger than " + limit + " bytes"};
    }
    if (m_publish.body) {
        const auto compiled = m_compile(*m_publish.body);
        if (!compiled) {
            return PublishResult{PublishOutcome::Rejected, m_publish.baseVersion, compiled.error().message()};
        }
    }
    return read();
}

PublishAction PublishSession::onTick(TimePoint)
{
    return read();
}

LogRead PublishSession::read() const
{
    return LogRead{m_table.nextOffset(), recordsPerRead};
}

PublishAction PublishSession::append()
{
    return AppendRecord{encodeRecord(m_publish)};
}

PublishAction PublishSession::onAppended(TimePoint, Offset offset)
{
    m_mayBeAppended = true;
    m_appendedAt = offset;
    return read();
}

PublishAction PublishSession::onAppendFailed(TimePoint now, bool knownNotAppended)
{
    m_mayBeAppended = m_mayBeAppended || !knownNotAppended;
    return waitOrGiveUp(now, "the log did not accept the record");
}

PublishAction PublishSession::onReadFailed(TimePoint now)
{
    return waitOrGiveUp(now, "the log can't be read");
}

PublishAction PublishSession::onPage(TimePoint now, const LogPage &page)
{
    const std::vector<PublishDecision> decisions = m_table.applyPage(now, page);
    if (const auto result = findResult(decisions)) {
        return *result;
    }
    return page.entries.empty() ? atEndOfLog(now) : PublishAction{read()};
}

/** The first copy of the record in the log determines the result; later copies conflict with it. */
std::optional<PublishResult> PublishSession::findResult(const std::vector<PublishDecision> &decisions) const
{
    for (const PublishDecision &decision : decisions) {
        if (decision.customer != m_publish.customer || decision.publishId != m_publish.publishId) {
            continue;
        }
        switch (decision.status) {
        case PublishStatus::Accepted:
            return PublishResult{PublishOutcome::Accepted, decision.version, {}};
        case PublishStatus::LostRace:
            return PublishResult{PublishOutcome::LostRace, decision.version, "another publish came first"};
        case PublishStatus::Invalid:
            return PublishResult{PublishOutcome::Rejected, decision.version, decision.reason};
        }
    }
    return std::nullopt;
}

PublishAction PublishSession::atEndOfLog(TimePoint now)
{
    const Version version = m_table.versionOf(m_publish.customer);
    if (!m_table.isCurrent(m_publish.customer)) {
        return PublishResult{m_mayBeAppended ? PublishOutcome::Unknown : PublishOutcome::Rejected,
                             version,
                             "records since the base version have expired; read the current version again"};
    }
    // A version never recurs, so no copy of the record can be accepted any more.
    if (version != m_publish.baseVersion) {
        return PublishResult{PublishOutcome::LostRace, version, "another publish came first"};
    }
    if (m_appendedAt) {
        const bool passed = m_table.nextOffset() > *m_appendedAt;
        return passed ? PublishResult{PublishOutcome::Unknown, version, "the log does not hold the acknowledged record"}
                      : waitOrGiveUp(now, "the log does not show the acknowledged record yet");
    }
    if (now - m_startedAt >= publishTimeout) {
        return waitOrGiveUp(now, "the log did not accept the record");
    }
    return append();
}

PublishAction PublishSession::waitOrGiveUp(TimePoint now, const std::string &reason) const
{
    if (now - m_startedAt < publishTimeout) {
        return WaitFor{publishRetryDelay};
    }
    const PublishOutcome outcome = m_mayBeAppended ? PublishOutcome::Unknown : PublishOutcome::Rejected;
    return PublishResult{outcome, m_publish.baseVersion, reason};
}

} // namespace jackdawdoor::configuration
