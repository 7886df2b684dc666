/** Versions of all customers, from the log and from peers, by one deterministic rule.
 *
 * A reader has the records of a window [windowStart, next) of the log. A customer's state decided as of an offset in or
 * after that window can follow the log. Any other state stays in force but is not advanced, and publishes of that
 * customer wait until a snapshot or a peer supplies a state within the window. Readers with different windows therefore
 * never decide differently; they can only be undecided.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/configurationmessage.h"
#include "configuration/contractcompiler.h"
#include "configuration/customerhistory.h"
#include "configuration/logpage.h"
#include "configuration/offsettimeindex.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawdoor::configuration {

/** Maximum memory of waiting publishes, an eighth of the 64 MB that an instance may use. The publish that exceeds it
 * makes its customer drop its waiting publishes. */
constexpr std::size_t maximumWaitingBytes = std::size_t{8} * 1024 * 1024;

/** The version table of one instance. */
class VersionTable
{
public:
    explicit VersionTable(ContractCompiler compile);

    /** Applies a page. Records already read are skipped; a retention gap starts a new window. */
    std::vector<PublishDecision> applyPage(TimePoint now, const LogPage &page);

    /** Merges a peer's state. */
    std::vector<PublishDecision> merge(const CustomerState &state);

    /** Merges a peer's summary if its version equals the one in this table. */
    std::vector<PublishDecision> mergeSummary(TimePoint now, const Summary &summary);

    /** To be called when a peer's digest equals this table's: no customer is missing, and all records before `asOf` are
     * decided. A reader that has not read that far continues from there. */
    std::vector<PublishDecision> adoptComplete(Offset asOf);

    /** Offset before which all customers, absent ones included, are decided; 0 when that is not known. */
    Offset completeAsOf() const;

    /** First offset not yet read. */
    Offset nextOffset() const;

    /** State of a customer with a version above 0 and with the effective asOf. */
    std::optional<CustomerState> stateOf(const CustomerId &customer) const;
    Version versionOf(const CustomerId &customer) const;
    PolicyPointer policyOf(const CustomerId &customer) const;

    /** True when the customer's state takes all records read into account. */
    bool isCurrent(const CustomerId &customer) const;

    std::optional<Checkpoint> checkpointOf(const CustomerId &customer) const;

    /** The next customer by id with a version above 0; the first one when none is given. */
    std::optional<CustomerId> customerAfter(const std::optional<CustomerId> &customer) const;

    /** Customers with a version above 0, tombstones included. */
    std::map<CustomerId, Version> versions() const;

    /** Customers whose version has increased since the last call. */
    std::vector<CustomerId> takeChanged();

    /** Offset that a CycleEnd may name now: each customer is known and has a checkpoint at or after it. */
    std::optional<Offset> possibleCycleEnd() const;

    /** Number of customers with a contract in force. */
    std::size_t contracts() const;

    std::uint64_t digest() const;
    std::vector<std::uint64_t> bucketHashes() const;
    std::optional<Summary> summaryOf(TimePoint now, const CustomerId &customer) const;

    /** Latest CycleEnd seen, with the time of its record. */
    const std::optional<Checkpoint> &cycleEnd() const;

    /** Merges a CycleEnd that a peer has seen. */
    void mergeCycleEnd(const Checkpoint &cycleEnd);

    /** Bucket of a customer, below digestBuckets. */
    static std::size_t bucketOf(const CustomerId &customer);

private:
    using Decisions = std::vector<PublishDecision>;

    void startWindow(Offset start);
    void apply(TimePoint appended, const LogEntry &entry, Decisions &decisions);
    void applyRecord(TimePoint appended, Offset offset, Publish publish, Decisions &decisions);
    void applyRecord(TimePoint appended, Offset offset, const Snapshot &snapshot, Decisions &decisions);
    void applyRecord(TimePoint appended, Offset offset, const CycleEnd &cycleEnd, Decisions &decisions);
    void markAbsent(Offset asOf, bool unlessSnapshot, Decisions &decisions);
    void mergeInto(CustomerHistory &history, const CustomerState &state, Decisions &decisions);
    Offset absentAsOf() const;
    CustomerHistory &historyOf(const CustomerId &customer);
    const CustomerHistory *find(const CustomerId &customer) const;
    void recordChanges(CustomerHistory &history, Version versionBefore, std::size_t bytesBefore, Decisions made, Decisions &decisions);

    ContractCompiler m_compile;
    std::map<CustomerId, CustomerHistory> m_histories;
    OffsetTimeIndex m_timeIndex;
    Offset m_windowStart = 0;
    Offset m_next = 0;
    Offset m_absentAsOf = 0; ///< customers without a state did not exist before this offset
    std::size_t m_waitingBytes = 0;
    std::optional<Checkpoint> m_cycleEnd;
    std::set<CustomerId> m_changed;
};

} // namespace jackdawdoor::configuration
