/** Callers: they keep placement answers, read, and submit non-idempotent work with keys from tickets. */
#pragma once

#include "contract/policy.h"
#include "measure/entryfleet.h"
#include "measure/measurement.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::measure {

/** How the callers behave. */
struct CallerOptions {
    double load = 0.5; ///< share of the contract's peak rate
    double submissionShare = 0.3; ///< of a service's load, when it has non-idempotent operations
    double staleShare = 0.1; ///< callers that keep placement answers much too long
    int callersPerService = 60;
    Duration resendDelay = std::chrono::milliseconds{500};
    int resends = 6; ///< of one key, before only its outcome is asked for
    int tickets = 6; ///< new tickets after certain "not run" answers
};

/** One logical submission, over all its keys. */
struct Submission {
    const contract::ServicePolicy *service = nullptr;
    const contract::OperationPolicy *operation = nullptr;
    std::string caller;
    std::uint64_t number = 0;
    std::uint64_t fingerprint = 0;
    std::vector<std::string> keys; ///< the last one is in use
    std::vector<std::string> notRunKeys; ///< certainly not run, as the system says
    std::vector<std::string> history; ///< answers, for traces
    int sends = 0; ///< of the present key
    int tickets = 0;
    std::uint64_t wait = 0; ///< number of the exchange that is waited for
    std::uint64_t question = 0; ///< counts outcome queries, so that a late resend does not end the asking
    bool answered = false;
    bool gaveUp = false; ///< the last key did not run, and no further ticket is asked for
    bool outcomeUnknown = false; ///< the system said so when asked for the outcome
};

/** Load of all services of one customer. */
class Callers
{
public:
    /** The references must outlive this object. */
    Callers(EntryFleet &fleet, const contract::CustomerPolicy &policy, CallerOptions options, Measurement &measurement);

    /** Sends load until that time. */
    void start(TimePoint end);

    /** Asks for the outcomes that are still open. To be called after all faults have ended; takes virtual time. */
    void settle();

    /** Judges all submissions against the runs at the upstreams. */
    void judge();

    /** Submits now; used by scenarios that script submissions. */
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
