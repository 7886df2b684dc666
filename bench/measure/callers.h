/** Simulated callers that cache placement answers, send reads and submit non-idempotent requests with keys from tickets. */
#pragma once

#include "contract/policy.h"
#include "measure/entryfleet.h"
#include "measure/measurement.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::measure {

/** Behaviour of the callers. */
struct CallerOptions {
    double load = 0.5; ///< share of the contract's peak rate
    double submissionShare = 0.3; ///< share of submissions in a service's load, if it has non-idempotent operations
    double staleShare = 0.1; ///< share of callers that keep placement answers far beyond the hold time
    int callersPerService = 60;
    Duration resendDelay = std::chrono::milliseconds{500};
    int resends = 6; ///< resends of one key before the caller only queries its outcome
    int tickets = 6; ///< tickets per submission; a new one is requested after "not run"
};

/** One logical submission with all its keys. */
struct Submission {
    const contract::ServicePolicy *service = nullptr;
    const contract::OperationPolicy *operation = nullptr;
    std::string caller;
    std::uint64_t number = 0;
    std::uint64_t fingerprint = 0;
    std::vector<std::string> keys; ///< the last one is current
    std::vector<std::string> notRunKeys; ///< keys the system reported as not run
    std::vector<std::string> history; ///< sends and answers, for traces
    int sends = 0; ///< sends of the current key
    int tickets = 0;
    std::uint64_t wait = 0; ///< number of the exchange whose answer is awaited
    std::uint64_t question = 0; ///< number of the current outcome query, so that a late resend does not end the querying
    bool answered = false;
    bool gaveUp = false; ///< the last key did not run and no tickets remain
    bool outcomeUnknown = false; ///< the system answered an outcome query with "unknown"
};

/** Generates the load of all services of one customer. */
class Callers
{
public:
    /** The references must outlive this object. */
    Callers(EntryFleet &fleet, const contract::CustomerPolicy &policy, CallerOptions options, Measurement &measurement);

    /** Generates load until the given time. */
    void start(TimePoint end);

    /** Queries all outstanding outcomes, which takes virtual time. Call after all faults have ended. */
    void settle();

    /** Checks all submissions against the runs at the upstreams. */
    void judge();

    /** Submits immediately; for scenarios that script submissions. */
    void submit(const contract::ServicePolicy &service, const contract::OperationPolicy &operation, std::uint64_t fingerprint);

    CallerOptions &options();

private:
    struct Placement {
        core::PlacementReply reply;
        TimePoint until;
    };

    void arrive(const contract::ServicePolicy &service);
    void read(const contract::ServicePolicy &service, const contract::OperationPolicy &operation);
    void sendRead(const core::CallerRequest &request, std::vector<std::string> addresses, TimePoint arrived, Duration deadline);
    void onReadAnswer(const fakes::CallerAnswer &answer, TimePoint arrived, Duration deadline);
    void openTicket(const std::shared_ptr<Submission> &submission);
    void send(const std::shared_ptr<Submission> &submission);
    void onAnswer(const std::shared_ptr<Submission> &submission, const fakes::CallerAnswer &answer);
    void resendLater(const std::shared_ptr<Submission> &submission);
    void askOutcome(const std::shared_ptr<Submission> &submission, int attempt);
    void note(Submission &submission, const std::string &text) const;
    void judge(const Submission &submission);
    bool isOpen(const Submission &submission) const;
    const core::PlacementReply *place(const contract::ServicePolicy &service, const std::string &caller, bool fresh);
    std::size_t anyInstance();

    EntryFleet &m_fleet;
    const contract::CustomerPolicy &m_policy;
    CallerOptions m_options;
    Measurement &m_measurement;
    TimePoint m_end;
    std::map<std::pair<ServiceId, std::string>, Placement> m_placements;
    std::vector<std::shared_ptr<Submission>> m_submissions;
    std::uint64_t m_nextNumber = 1;
};

} // namespace jackdawdoor::measure
