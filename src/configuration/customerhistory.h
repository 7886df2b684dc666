/** State of one customer at one reader of the log: a decided state, or publishes that wait for one. */
#pragma once

#include "configuration/contractcompiler.h"
#include "configuration/customerstate.h"
#include "configuration/logrecord.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::configuration {

/** Result of a publish record. */
enum class PublishStatus {
    Accepted,
    LostRace, ///< the base version was not the customer's current version
    Invalid, ///< the body is not a valid contract
};

/** Decision on one publish record. */
struct PublishDecision {
    Offset offset = 0;
    CustomerId customer;
    std::string publishId;
    PublishStatus status = PublishStatus::LostRace;
    Version baseVersion = 0; ///< the version that the publish replaces
    Version version = 0; ///< the customer's version after the record
    std::string reason; ///< why the body is invalid; empty otherwise

    bool operator==(const PublishDecision &) const = default;
};

using PolicyPointer = std::shared_ptr<const contract::CustomerPolicy>;

/** State and waiting publishes of one customer. The only place that decides whether a publish is accepted. */
class CustomerHistory
{
public:
    explicit CustomerHistory(CustomerId customer);

    /** The latest state decided, even when later records were missed. */
    const std::optional<CustomerState> &state() const;

    /** Policy of the state; null for a tombstone, a customer that does not exist, or an unknown state. */
    const PolicyPointer &policy() const;

    /** First offset from which this reader has all records, for a reader whose log window starts there. */
    Offset windowStart(Offset readerWindow) const;

    /** True when the state can be advanced by the log: no record between its asOf and the window was missed. */
    bool canFollowLog(Offset readerWindow) const;

    /** Offset before which the state takes all records into account, for a reader that has read up to `next`. */
    Offset effectiveAsOf(Offset readerWindow, Offset next) const;

    /** Applies a publish, or queues it until a state is known; returns the decisions made. */
    std::vector<PublishDecision> publish(Offset offset, Publish publish, Offset readerWindow, const ContractCompiler &compile);

    /** Merges a state decided by another reader. An older state or an invalid body is ignored. */
    std::vector<PublishDecision> merge(const CustomerState &state, Offset readerWindow, const ContractCompiler &compile);

    /** Drops the waiting publishes to free memory; the window of this customer then starts at `from`. */
    void dropWaiting(Offset from);

    /** Drops waiting publishes from before a new reader window. */
    void startWindow(Offset start);

    /** Approximate memory of the waiting publishes. */
    std::size_t waitingBytes() const;

    /** Sets the state's asOf to the effective one. To be called before the reader's window moves. */
    void advanceAsOf(Offset readerWindow, Offset next);

    std::optional<Checkpoint> checkpoint; ///< latest known
    std::optional<Offset> latestSnapshotOffset; ///< offset of the latest snapshot record, whether or not its state was used

private:
    struct Waiting {
        Offset offset = 0;
        Publish publish;
    };

    struct Compiled {
        PolicyPointer policy; ///< null when the body is invalid
        std::string reason;
    };

    static Compiled compileBody(const std::string &body, const ContractCompiler &compile);
    PublishDecision decide(Offset offset, const Publish &publish, const ContractCompiler &compile);
    std::vector<PublishDecision> replayWaiting(Offset readerWindow, const ContractCompiler &compile);

    CustomerId m_customer;
    std::optional<CustomerState> m_state;
    PolicyPointer m_policy;
    Offset m_windowStart = 0;
    std::vector<Waiting> m_waiting;
    std::size_t m_waitingBytes = 0;
};

} // namespace jackdawdoor::configuration
