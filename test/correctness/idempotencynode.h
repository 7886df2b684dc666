/** One instance of the idempotency model test: connects the module's classes as the core does. */
#pragma once

#include "idempotency/outcomeresolver.h"
#include "idempotency/ticketissuer.h"
#include "idempotency/witnesskeys.h"
#include "idempotencyworld.h"

#include <deque>
#include <map>
#include <string>

namespace jackdawdoor::idempotency::model {

/** Instance whose requests, attempts and timers are simulated. */
class Node
{
public:
    Node(World &world, int index, InstanceRef instance, TimePoint startedAt, const KeyLimits &limits, TicketAuthenticator hook, bool naive)
        : self(std::move(instance))
        , home(self, limits)
        , witness(self, limits)
        , issuer(self, startedAt, std::move(hook))
        , m_world(world)
        , m_index(index)
        , m_naive(naive)
    {
    }

    void onRequest(TimePoint now, const Request &request)
    {
        m_now = now;
        AdmitResult result = home.admit(now, request.key, request.fingerprint);
        send(result.messages);
        const std::string text = request.key.encode();
        if (std::holds_alternative<ForwardToHome>(result.decision)) {
            forward(request);
        } else if (const auto *stored = std::get_if<AnswerStored>(&result.decision)) {
            m_world.sendAnswer(m_index, request, OutcomeKind::Completed, stored->answer.body);
        } else if (const auto *refused = std::get_if<RefuseKey>(&result.decision)) {
            m_world.sendAnswer(m_index, request, kindOf(*refused), {});
        } else {
            m_waiting[text].push_back(request);
            if (std::holds_alternative<DispatchPermitted>(result.decision)) {
                queueDispatch(request);
            } else if (m_naive && std::holds_alternative<AwaitWitness>(result.decision)) {
                apply(home.onMessage(now, request.key.ticket.witness, Recorded{request.key}));
            }
        }
    }

    void onForwardAnswer(TimePoint now, std::uint64_t id, OutcomeKind kind, const std::string &body)
    {
        m_now = now;
        const auto found = m_resolving.find(id);
        if (found == m_resolving.end()) {
            return;
        }
        if (kind == OutcomeKind::NotResponsible) {
            forwardFailed(id);
            return;
        }
        m_world.sendAnswer(m_index, found->second.request, kind, body);
        m_resolving.erase(found);
    }

    void onControl(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message)
    {
        m_now = now;
        const auto *query = std::get_if<Query>(&message);
        if (query == nullptr || query->key.ticket.home == self) {
            apply(home.onMessage(now, from, message));
        }
        if (query == nullptr || query->key.ticket.home != self) {
            send(witness.onMessage(now, from, message));
        }
        stepResolvers([&](OutcomeResolver &resolver) {
            return resolver.onMessage(now, from, message);
        });
    }

    void onTick(TimePoint now)
    {
        m_now = now;
        apply(home.onTick(now));
        witness.onTick(now);
        stepResolvers([&](OutcomeResolver &resolver) {
            return resolver.onTick(now);
        });
    }

    void setNow(TimePoint now)
    {
        m_now = now;
    }

    void beginStop(TimePoint now)
    {
        m_now = now;
        apply(home.beginStop(now));
    }

    void resume(TimePoint now)
    {
        m_now = now;
        apply(home.resumeAfterPause(now));
    }

    InstanceRef self;
    HomeKeys home;
    WitnessKeys witness;
    TicketIssuer issuer;

private:
    struct Resolving {
        OutcomeResolver resolver;
        Request request;
    };

    static OutcomeKind kindOf(const RefuseKey &refused)
    {
        return refused.certainty == Certainty::NotRun ? OutcomeKind::NotRun : OutcomeKind::Unknown;
    }

    void send(const std::vector<Outgoing<IdempotencyMessage>> &messages)
    {
        for (const auto &message : messages) {
            m_world.sendControl(m_index, message);
        }
    }

    void apply(const HomeStep &step)
    {
        send(step.messages);
        for (const KeyEvent &event : step.events) {
            if (const auto *refused = std::get_if<RefuseKey>(&event.decision)) {
                answerAll(event.key, kindOf(*refused), {});
            } else if (!m_waiting[event.key].empty()) {
                queueDispatch(m_waiting[event.key].front());
            }
        }
    }

    void answerAll(const std::string &text, OutcomeKind kind, const std::string &body)
    {
        const auto waiting = m_waiting.extract(text);
        if (!waiting.empty()) {
            for (const Request &request : waiting.mapped()) {
                m_world.sendAnswer(m_index, request, kind, body);
            }
        }
    }

    /** The permitted request waits for a slot, sometimes for longer than its ticket lives. */
    void queueDispatch(const Request &request)
    {
        const Duration wait = m_world.chance(0.1) ? m_world.between(100 * ms, 4000 * ms) : m_world.between(0 * ms, 30 * ms);
        m_world.later(m_index, wait, [this, request] {
            dispatch(request);
        });
    }

    void dispatch(const Request &request)
    {
        const std::string text = request.key.encode();
        if (m_world.chance(0.05)) {
            apply(home.cancelDispatch(m_now, text));
            answerIfNotRun(request);
        } else if (!home.startDispatch(m_now, text)) {
            answerIfNotRun(request);
        } else if (m_world.chance(0.2)) {
            giveUp(request,
                   m_world.chance(0.3)   ? NotRunAction::RetryNow
                   : m_world.chance(0.5) ? NotRunAction::LeaveOpen
                                         : NotRunAction::Close);
        } else {
            m_world.ran(request);
            m_world.later(m_index, m_world.between(5 * ms, 300 * ms), [this, request, text] {
                finish(request, text);
            });
        }
    }

    void finish(const Request &request, const std::string &text)
    {
        if (m_world.chance(0.15)) {
            apply(home.recordUnknown(m_now, text));
            answerAll(text, OutcomeKind::Unknown, {});
            return;
        }
        apply(home.recordCompleted(m_now, text, StoredAnswer{200, "text/plain", request.key.nonce, true}));
        answerAll(text, OutcomeKind::Completed, request.key.nonce);
    }

    void giveUp(const Request &request, NotRunAction next)
    {
        const std::string text = request.key.encode();
        apply(home.recordNotRun(m_now, text, next));
        if (next == NotRunAction::RetryNow) {
            queueDispatch(request);
        } else if (next == NotRunAction::LeaveOpen) {
            m_waiting.erase(text); // these callers have disconnected
        } else {
            answerIfNotRun(request);
        }
    }

    void answerIfNotRun(const Request &request)
    {
        if (home.outcomeOf(m_now, request.key).kind == OutcomeKind::NotRun) {
            answerAll(request.key.encode(), OutcomeKind::NotRun, {});
        }
    }

    void forward(const Request &request)
    {
        if (request.replyTo >= 0) {
            m_world.sendAnswer(m_index, request, OutcomeKind::NotResponsible, {});
            return;
        }
        const bool query = m_world.chance(0.2);
        const ResolverTimeouts times{400 * ms, 600 * ms, 100 * ms};
        const auto purpose = query ? ResolverPurpose::OutcomeQuery : ResolverPurpose::Resend;
        OutcomeResolver resolver(request.key, request.fingerprint, purpose, times);
        const auto added = m_resolving.insert_or_assign(request.id, Resolving{std::move(resolver), request}).first;
        // Membership may be wrong in both directions.
        ResolverStep step = added->second.resolver.start(m_now, !m_naive && m_world.chance(0.2));
        applyResolver(request.id, step);
    }

    void forwardFailed(std::uint64_t id)
    {
        const auto found = m_resolving.find(id);
        if (found == m_resolving.end()) {
            return;
        }
        if (m_naive) {
            m_world.sendAnswer(m_index, found->second.request, OutcomeKind::NotRun, {});
            m_resolving.erase(found);
            return;
        }
        applyResolver(id, found->second.resolver.onForwardFailed(m_now));
    }

    template <typename Function>
    void stepResolvers(Function function)
    {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, resolving] : m_resolving) {
            ids.push_back(id);
        }
        for (const std::uint64_t id : ids) {
            const auto found = m_resolving.find(id);
            if (found != m_resolving.end()) {
                applyResolver(id, function(found->second.resolver));
            }
        }
    }

    void applyResolver(std::uint64_t id, const ResolverStep &step)
    {
        send(step.messages);
        const auto found = m_resolving.find(id);
        if (std::holds_alternative<ForwardRequest>(step.decision)) {
            Request copy = found->second.request;
            copy.replyTo = m_index;
            m_world.sendRequest(m_world.indexOf(copy.key.ticket.home.id), copy);
            m_world.later(m_index, 800 * ms, [this, id] {
                forwardFailed(id);
            });
        } else if (const auto *resolved = std::get_if<Resolved>(&step.decision)) {
            m_world.sendAnswer(m_index, found->second.request, resolved->outcome.kind, resolved->outcome.answer.body);
            m_resolving.erase(found);
        }
    }

    World &m_world;
    int m_index;
    bool m_naive;
    TimePoint m_now;
    std::map<std::string, std::deque<Request>> m_waiting;
    std::map<std::uint64_t, Resolving> m_resolving;
};

} // namespace jackdawdoor::idempotency::model
