/* Callers: submissions, their resends and the verification of their outcomes. */
#include "measure/callers.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::measure {

namespace {

using Kind = fakes::CallerAnswer::Kind;

constexpr int maximumOutcomeQueries = 12;
constexpr Duration outcomePause = std::chrono::seconds{2};
constexpr Duration outcomeWait = std::chrono::seconds{4};
/** A caller closes a submission's connection this long after the operation's deadline. */
constexpr Duration closeDelay = std::chrono::seconds{1};
/** Upper bound of the wait for one answer, so that scenarios stay short. */
constexpr Duration maximumWait = std::chrono::seconds{6};

std::string describe(const fakes::CallerAnswer &answer)
{
    switch (answer.kind) {
    case Kind::Answered:
        return "answered " + std::to_string(answer.status);
    case Kind::Incomplete:
        return "incomplete";
    case Kind::Lost:
        return "lost";
    case Kind::Refused:
        break;
    }
    return std::string(answer.refusal.disposition == core::Disposition::NotRun ? "not run: " : "unknown: ") + answer.refusal.reason;
}

bool isNotRun(const fakes::CallerAnswer &answer)
{
    return answer.kind == Kind::Refused && answer.refusal.disposition == core::Disposition::NotRun;
}

} // namespace

void Callers::submit(const contract::ServicePolicy &service, const contract::OperationPolicy &operation, std::uint64_t fingerprint)
{
    auto submission = std::make_shared<Submission>();
    submission->service = &service;
    submission->operation = &operation;
    submission->number = m_nextNumber++;
    submission->fingerprint = fingerprint;
    submission->caller = "caller-" + std::to_string(submission->number % static_cast<std::uint64_t>(m_options.callersPerService));
    m_submissions.push_back(submission);
    ++m_measurement.submissions;
    openTicket(submission);
}

void Callers::note(Submission &submission, const std::string &text) const
{
    const double at = toSeconds(m_fleet.events().now().time_since_epoch());
    submission.history.push_back(std::to_string(at) + " " + text);
}

void Callers::openTicket(const std::shared_ptr<Submission> &submission)
{
    if (submission->tickets >= m_options.tickets) {
        submission->gaveUp = true;
        return;
    }
    // A ticket is valid for many keys; after "not run" the caller requests a new one.
    const core::PlacementReply *reply = place(*submission->service, submission->caller, submission->tickets > 0);
    ++submission->tickets;
    if (reply == nullptr || reply->ticket.empty()) {
        note(*submission, "no ticket");
        m_fleet.events().after(m_options.resendDelay, [this, submission] {
            openTicket(submission);
        });
        return;
    }
    submission->keys.push_back(reply->ticket + ".s" + std::to_string(submission->number) + "-" + std::to_string(submission->tickets));
    submission->sends = 0;
    send(submission);
}

void Callers::send(const std::shared_ptr<Submission> &submission)
{
    std::size_t instance = m_fleet.size();
    const auto kept = m_placements.find({submission->service->id, submission->caller});
    if (kept != m_placements.end() && submission->sends < static_cast<int>(kept->second.reply.addresses.size())) {
        instance = m_fleet.instanceAt(kept->second.reply.addresses[static_cast<std::size_t>(submission->sends)]);
    }
    if (instance >= m_fleet.size()) {
        instance = anyInstance();
    }
    ++submission->sends;
    const std::uint64_t wait = ++submission->wait;
    core::CallerRequest request;
    request.service = submission->service->id;
    request.method = submission->operation->method;
    request.path = submission->operation->pathPrefix;
    request.organisation = "organisation-" + std::to_string(submission->number % 7);
    request.key = submission->keys.back();
    request.bodyBytes = 100;
    request.fingerprint = submission->fingerprint;
    note(*submission, "send " + std::to_string(submission->keys.size()) + " to entry-" + std::to_string(instance));
    const core::RequestId id = m_fleet.request(instance, request, [this, submission, wait](const fakes::CallerAnswer &answer) {
        if (submission->wait == wait) {
            ++submission->wait;
            onAnswer(submission, answer);
        }
    });
    m_fleet.events().after(std::min(submission->operation->deadline + closeDelay, maximumWait), [this, submission, wait, instance, id] {
        if (submission->wait == wait) {
            ++submission->wait;
            m_fleet.abandon(instance, id);
            onAnswer(submission, {});
        }
    });
}

void Callers::onAnswer(const std::shared_ptr<Submission> &submission, const fakes::CallerAnswer &answer)
{
    note(*submission, describe(answer));
    if (answer.kind == Kind::Answered) {
        submission->answered = true;
    } else if (isNotRun(answer)) {
        submission->notRunKeys.push_back(submission->keys.back());
        const Duration pause = std::max(m_options.resendDelay, answer.refusal.retryAfter.value_or(Duration{0}));
        m_fleet.events().after(std::min(pause, maximumWait), [this, submission] {
            openTicket(submission);
        });
    } else {
        resendLater(submission);
    }
}

void Callers::resendLater(const std::shared_ptr<Submission> &submission)
{
    if (submission->sends <= m_options.resends) {
        m_fleet.events().after(m_options.resendDelay, [this, submission] {
            send(submission);
        });
    }
}

bool Callers::isOpen(const Submission &submission) const
{
    const bool closed =
        !submission.notRunKeys.empty() && !submission.keys.empty() && submission.notRunKeys.back() == submission.keys.back();
    return !submission.answered && !submission.keys.empty() && !closed;
}

void Callers::settle()
{
    for (const std::shared_ptr<Submission> &submission : m_submissions) {
        if (isOpen(*submission)) {
            askOutcome(submission, 0);
        }
    }
    m_fleet.events().runUntil(m_fleet.events().now() + (outcomePause + outcomeWait) * (maximumOutcomeQueries + 1));
}

void Callers::askOutcome(const std::shared_ptr<Submission> &submission, int attempt)
{
    if (attempt >= maximumOutcomeQueries || !isOpen(*submission)) {
        return;
    }
    const std::uint64_t question = ++submission->question;
    const std::size_t instance = anyInstance();
    const auto again = [this, submission, attempt](Duration pause) {
        m_fleet.events().after(pause, [this, submission, attempt] {
            askOutcome(submission, attempt + 1);
        });
    };
    m_fleet.queryOutcome(instance, submission->keys.back(), [this, submission, question, again](const fakes::CallerAnswer &answer) {
        if (submission->question != question) {
            return;
        }
        ++submission->question;
        note(*submission, "outcome " + describe(answer));
        submission->answered = answer.kind == Kind::Answered;
        if (isNotRun(answer)) {
            submission->notRunKeys.push_back(submission->keys.back());
        }
        submission->outcomeUnknown = answer.kind == Kind::Refused && !isNotRun(answer);
        again(outcomePause);
    });
    m_fleet.events().after(outcomeWait, [submission, question, again] {
        if (submission->question == question) {
            ++submission->question;
            again(outcomePause);
        }
    });
}

void Callers::judge()
{
    for (const std::shared_ptr<Submission> &submission : m_submissions) {
        judge(*submission);
    }
}

void Callers::judge(const Submission &submission)
{
    int total = 0;
    std::string fault;
    for (const std::string &key : submission.keys) {
        const auto found = m_fleet.runs().find(key);
        total += found == m_fleet.runs().end() ? 0 : found->second;
    }
    for (const std::string &key : submission.notRunKeys) {
        if (m_fleet.runs().contains(key)) {
            ++m_measurement.falseNotRun;
            fault += " false-not-run";
        }
    }
    if (total > 1) {
        ++m_measurement.doubledRuns;
        fault += " doubled";
    }
    if (submission.answered && total == 0) {
        ++m_measurement.falseAnswers;
        fault += " false-answer";
    }
    if (isOpen(submission)) {
        ++(submission.outcomeUnknown ? m_measurement.honestUnknowns : m_measurement.lostSubmissions);
        fault += submission.outcomeUnknown ? "" : " lost";
    } else if (!submission.answered) {
        ++m_measurement.abandonedNotRun;
    }
    if (!fault.empty()) {
        std::string trace = "submission " + std::to_string(submission.number) + fault + ", runs " + std::to_string(total) + ":";
        for (const std::string &entry : submission.history) {
            trace += "\n      " + entry;
        }
        m_measurement.addTrace(trace);
    }
}

} // namespace jackdawdoor::measure
