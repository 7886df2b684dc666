/** Client side of one publish, as a state machine.
 *
 * The session starts from the customer's state at an instance, replays the log from there by the same rule as the
 * instances, and appends its record again only after a read of the log shows no copy of it. Whatever the result, a copy
 * that is appended late can't be accepted twice, because its base version is outdated by then.
 */
#pragma once

#include "base/time.h"
#include "configuration/contractcompiler.h"
#include "configuration/customerstate.h"
#include "configuration/logpage.h"
#include "configuration/versiontable.h"

#include <optional>
#include <string>
#include <variant>

namespace jackdawdoor::configuration {

/** After this time the session ends with the outcome Unknown or Rejected. */
constexpr Duration publishTimeout = std::chrono::seconds{30};
constexpr Duration publishRetryDelay = std::chrono::milliseconds{500};

enum class PublishOutcome {
    Accepted, ///< published as `version`
    Rejected, ///< not published; see `reason`
    LostRace, ///< not published; the customer has `version`
    Unknown, ///< may have been published, or may still be
};

/** Result for the operator. */
struct PublishResult {
    PublishOutcome outcome = PublishOutcome::Unknown;
    Version version = 0;
    std::string reason;

    bool operator==(const PublishResult &) const = default;
};

/** Append this record, then call onAppended() or onAppendFailed(). */
struct AppendRecord {
    std::string record;

    bool operator==(const AppendRecord &) const = default;
};

/** Call onTick() after this time. */
struct WaitFor {
    Duration delay{};

    bool operator==(const WaitFor &) const = default;
};

using PublishAction = std::variant<AppendRecord, LogRead, WaitFor, PublishResult>;

/** One publish. Each method returns what to do next; after a PublishResult the session is over. */
class PublishSession
{
public:
    /** `base` is the customer's state at an instance; for a new customer version 0 with the instance's completeAsOf.
     * `publishId` must be unique. */
    PublishSession(CustomerState base, std::string publishId, std::optional<std::string> body, ContractCompiler compile);

    PublishAction start(TimePoint now);
    PublishAction onTick(TimePoint now);
    PublishAction onAppended(TimePoint now, Offset offset);
    /** `knownNotAppended`: the log reported that it did not append the record; otherwise the acknowledgement was lost. */
    PublishAction onAppendFailed(TimePoint now, bool knownNotAppended);
    PublishAction onPage(TimePoint now, const LogPage &page);
    PublishAction onReadFailed(TimePoint now);

private:
    LogRead read() const;
    PublishAction append();
    PublishAction waitOrGiveUp(TimePoint now, const std::string &reason) const;
    PublishAction atEndOfLog(TimePoint now);
    std::optional<PublishResult> findResult(const std::vector<PublishDecision> &decisions) const;

    Publish m_publish;
    ContractCompiler m_compile;
    VersionTable m_table;
    TimePoint m_startedAt;
    bool m_mayBeAppended = false; ///< an append was acknowledged, or its result is unknown
    std::optional<Offset> m_appendedAt;
};

} // namespace jackdawdoor::configuration
