#include "core/keyedrequesthandler.h"

#include "core/httpstatus.h"
#include "core/keyrefusal.h"

#include <utility>

namespace jackdawdoor::core {

using namespace idempotency;

namespace {

/** A forwarded request whose end was not reported is dropped this long after its deadline. */
constexpr Duration forwardRetention = std::chrono::minutes{1};

template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

const IdempotencyKey *keyOf(const IdempotencyMessage &message)
{
    return std::visit(
        [](const auto &part) -> const IdempotencyKey * {
            if constexpr (requires { part.key; }) {
                return &part.key;
            } else {
                return nullptr;
            }
        },
        message);
}

} // namespace

KeyedRequestHandler::KeyedRequestHandler(InstanceRef self,
                                         TicketAuthenticator authenticate,
                                         const membership::Membership &membership,
                                         RequestDispatcher &requests,
                                         Outbox &outbox)
    : m_self(std::move(self))
    , m_authenticate(std::move(authenticate))
    , m_membership(membership)
    , m_requests(requests)
    , m_outbox(outbox)
    , m_home(m_self, KeyLimits{})
    , m_witness(m_self, KeyLimits{})
{
    m_requests.setKeyHooks({[this](TimePoint now, const std::string &key) {
                                return startDispatch(now, key);
                            },
                            [this](TimePoint now, const std::string &key, const RunReport &report) {
                                finished(now, key, report);
                            }});
}

void KeyedRequestHandler::onRequest(TimePoint now, PreparedRequest prepared)
{
    const auto key = IdempotencyKey::decodeFromCaller(prepared.request.key, m_authenticate);
    if (!key || key.value().ticket.service != prepared.service->id) {
        const std::string reason = key ? "the key's ticket is for another service" : key.error().reason;
        m_requests.refuse(
            now, prepared, {httpstatus::badRequest, Disposition::NotRun, RefusalStage::Malformed, false, std::nullopt, reason});
        return;
    }
    const AdmitResult result = m_home.admit(now, key.value(), prepared.request.fingerprint);
    m_outbox.sendAll(result.messages);
    if (std::holds_alternative<ForwardToHome>(result.decision)) {
        startResolution(now, std::move(prepared), key.value());
        return;
    }
    const std::string text = prepared.request.key;
    applyAdmission(now, std::move(prepared), text, result.decision);
}

void KeyedRequestHandler::applyAdmission(TimePoint now, PreparedRequest prepared, const std::string &key, const Admission &decision)
{
    std::visit(Overloaded{
                   [&](const AwaitWitness &) {
                       m_waiting[key].push_back(std::move(prepared));
                   },
                   [&](const JoinRunning &) {
                       m_waiting[key].push_back(std::move(prepared));
                   },
                   [&](const DispatchPermitted &) {
                       m_requests.begin(now, std::move(prepared), key);
                   },
                   [&](const AnswerStored &stored) {
                       answerStored(prepared, stored.answer);
                   },
                   [&](const RefuseKey &refuse) {
                       m_requests.refuse(now, prepared, refusalFor(refuse));
                   },
                   [](const ForwardToHome &) {},
               },
               decision);
}

bool KeyedRequestHandler::startDispatch(TimePoint now, const std::string &key)
{
    return m_home.startDispatch(now, key);
}

void KeyedRequestHandler::finished(TimePoint now, const std::string &key, const RunReport &report)
{
    switch (report.end) {
    case RunEnd::Completed:
        applyStep(now, m_home.recordCompleted(now, key, report.answer));
        break;
    case RunEnd::Unknown:
        applyStep(now, m_home.recordUnknown(now, key));
        break;
    case RunEnd::NotRunRetry:
        applyStep(now, m_home.recordNotRun(now, key, NotRunAction::RetryNow));
        return;
    case RunEnd::NotRunOpen:
        applyStep(now, m_home.recordNotRun(now, key, NotRunAction::LeaveOpen));
        break;
    case RunEnd::NotRunClosed:
        applyStep(now, m_home.recordNotRun(now, key, NotRunAction::Close));
        break;
    }
    answerWaiting(now, key, report);
}

void KeyedRequestHandler::answerWaiting(TimePoint now, const std::string &key, const RunReport &report)
{
    for (PreparedRequest &waiting : takeWaiting(key)) {
        if (report.end == RunEnd::Completed) {
            answerStored(waiting, report.answer);
        } else if (report.end == RunEnd::NotRunOpen) {
            // The caller of the first request disconnected; a waiting request with the same key may run instead.
            onRequest(now, std::move(waiting));
        } else {
            const bool notRun = report.end == RunEnd::NotRunClosed;
            const RefuseKey refuse{notRun ? KeyRefusal::Closed : KeyRefusal::OutcomeUnknown,
                                   notRun ? Certainty::NotRun : Certainty::Unknown};
            m_requests.refuse(now, waiting, refusalFor(refuse));
        }
    }
}

std::vector<PreparedRequest> KeyedRequestHandler::takeWaiting(const std::string &key)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return {};
    }
    std::vector<PreparedRequest> waiting = std::move(found->second);
    m_waiting.erase(found);
    return waiting;
}

void KeyedRequestHandler::applyStep(TimePoint now, const HomeStep &step)
{
    m_outbox.sendAll(step.messages);
    for (const KeyEvent &event : step.events) {
        applyEvent(now, event);
    }
}

void KeyedRequestHandler::applyEvent(TimePoint now, const KeyEvent &event)
{
    std::vector<PreparedRequest> waiting = takeWaiting(event.key);
    if (std::holds_alternative<DispatchPermitted>(event.decision)) {
        if (waiting.empty()) {
            // All its callers have disconnected or timed out; a later request with the key may run.
            applyStep(now, m_home.recordNotRun(now, event.key, NotRunAction::LeaveOpen));
            return;
        }
        PreparedRequest first = std::move(waiting.front());
        waiting.erase(waiting.begin());
        if (!waiting.empty()) {
            m_waiting[event.key] = std::move(waiting);
        }
        m_requests.begin(now, std::move(first), event.key);
        return;
    }
    for (PreparedRequest &request : waiting) {
        applyAdmission(now, std::move(request), event.key, event.decision);
    }
}

void KeyedRequestHandler::answerStored(const PreparedRequest &prepared, const StoredAnswer &answer)
{
    m_outbox.add(RelayStored{prepared.request.id, answer.status, answer.contentType, answer.body, answer.bodyComplete});
}

void KeyedRequestHandler::onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message)
{
    const IdempotencyKey *key = keyOf(message);
    const bool forHome = std::holds_alternative<Recorded>(message) || std::holds_alternative<Refused>(message)
                         || std::holds_alternative<Updated>(message) || std::holds_alternative<HandoverConfirmed>(message)
                         || std::holds_alternative<Reply>(message)
                         || (std::holds_alternative<Query>(message) && !m_witness.isWitnessOf(*key));
    if (forHome) {
        applyStep(now, m_home.onMessage(now, from, message));
    } else {
        m_outbox.sendAll(m_witness.onMessage(now, from, message));
    }
    if (key == nullptr || !(std::holds_alternative<Reply>(message) || std::holds_alternative<Closed>(message))) {
        return;
    }
    std::vector<RequestId> concerned;
    for (const auto &[id, resolution] : m_resolutions) {
        if (resolution.resolver.key() == *key) {
            concerned.push_back(id);
        }
    }
    for (const RequestId id : concerned) {
        applyResolver(now, id, m_resolutions.at(id).resolver.onMessage(now, from, message));
    }
}

void KeyedRequestHandler::onCallerGone(TimePoint now, RequestId request)
{
    m_resolutions.erase(request);
    for (auto &[key, waiting] : m_waiting) {
        std::erase_if(waiting, [request](const PreparedRequest &prepared) {
            return prepared.request.id == request;
        });
    }
    m_requests.onCallerGone(now, request);
}

void KeyedRequestHandler::onTick(TimePoint now)
{
    applyStep(now, m_home.onTick(now));
    m_witness.onTick(now);
    std::vector<RequestId> ids;
    for (const auto &[id, resolution] : m_resolutions) {
        ids.push_back(id);
    }
    for (const RequestId id : ids) {
        Resolution &resolution = m_resolutions.at(id);
        if (resolution.forwarded && now > resolution.prepared.deadline + forwardRetention) {
            m_resolutions.erase(id);
            continue;
        }
        applyResolver(now, id, resolution.resolver.onTick(now));
    }
    expireWaiting(now);
}

void KeyedRequestHandler::expireWaiting(TimePoint now)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        std::vector<PreparedRequest> &waiting = entry->second;
        for (std::size_t index = waiting.size(); index-- > 0;) {
            if (now >= waiting[index].deadline) {
                m_requests.refuse(now, waiting[index], refusalFor(KeyOutcome{OutcomeKind::InProgress, 0, {}}));
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
            }
        }
        entry = waiting.empty() ? m_waiting.erase(entry) : std::next(entry);
    }
}

void KeyedRequestHandler::beginStop(TimePoint now)
{
    applyStep(now, m_home.beginStop(now));
}

StopProgress KeyedRequestHandler::stopProgress() const
{
    return m_home.stopProgress();
}

void KeyedRequestHandler::resumeAfterPause(TimePoint now)
{
    applyStep(now, m_home.resumeAfterPause(now));
}

std::size_t KeyedRequestHandler::waitingCount() const
{
    return m_waiting.size() + m_resolutions.size();
}

std::size_t KeyedRequestHandler::homeSize() const
{
    return m_home.size();
}

std::size_t KeyedRequestHandler::witnessSize() const
{
    return m_witness.size();
}

} // namespace jackdawdoor::core
