/** Client side of one publish, as a state machine.
 *
 * The session knows the customer's state from an instance, evaluates the log from there by the same rule as the
 * instances, and appends its record again only after reading the log shows that no copy is in it. Whatever the
 * result, a copy appended late can't be accepted twice, because its base version is outdated by then.
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

/** The session gives up with the result `unknown` or an error after this time. */
constexpr Duration publishTimeout = std::chrono::seconds{30};
constexpr Duration publishRetryDelay = std::chrono::milliseconds{500};

enum class PublishOutcome {
    Accepted, ///< in force as `version`
    Rejected, ///< not published; see `reason`
    LostRace, ///< not published; the customer has `version`
    Unknown, ///< may have been or may yet be published
};

/** Result for the operator. */
struct PublishResult {
    PublishOutcome outcome = PublishOutcome::Unknown;
    Version version = 0;
    std::string reason;

    bool operator==(const PublishResult &) const = default;
};

/** Append this record; answer by onAppended() or onAppendFailed(). */
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
    /** `base` is the customer's state by an instance; version 0 with the instance's completeAsOf for a new customer.
     * `publishId` must be unique. */
    PublishSession(CustomerState base, std::string publishId, std::optional<std::string> body, ContractCompiler compile);

    PublishAction start(TimePoint now);
    PublishAction onTick(TimePoint now);
    PublishAction onAppended(TimePoint now, Offset offset);
    /** `certainlyNot`: the log said that it did not append; otherwise the acknowledgement was lost. */
    PublishAction onAppendFailed(TimePoint now, bool certainlyNot);
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
    bool m_mayBeAppended = false; ///< an append was acknowledged or ended without a certain failure
    std::optional<Offset> m_appendedAt;
};

} // namespace jackdawdoor::configuration
