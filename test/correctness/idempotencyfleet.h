/** Virtual fleet for the idempotency model test: callers that resend, and the checked invariants. */
#pragma once

#include "idempotencymachines.h"

#include <optional>
#include <set>

namespace jackdawdoor::idempotency::model {

/** One schedule. */
class Fleet : public Machines
{
public:
    using Machines::Machines;

    void run()
    {
        for (int work = 0; work < workCount; ++work) {
            m_works.emplace_back();
            at(between(0 * ms, 3000 * ms), [this, work] {
                startWithNewKey(work);
            });
        }
        runMachines();
        for (const Work &work : m_works) {
            m_tally.unanswered += work.answered ? 0 : 1;
        }
    }

    void sendControl(int from, const Outgoing<IdempotencyMessage> &message) override
    {
        const InstanceRef sender = m_slots[from].node->self;
        if (std::holds_alternative<Closed>(message.message)) {
            const IdempotencyKey &key = std::get<Closed>(message.message).key;
            noteNotRun(key.encode());
            ++m_tally.closedByWitness;
        } else if (const auto *reply = std::get_if<Reply>(&message.message); reply != nullptr && message.to != reply->key.ticket.home) {
            noteOutcome(reply->key, reply->outcome.kind, reply->outcome.answer.body);
        }
        const int to = indexOf(message.to.id);
        transmit([this, to, sender, message] {
            deliver(to, [sender, message](Node &node, TimePoint now) {
                node.onControl(now, sender, message.message);
            });
        });
    }

    void sendRequest(int to, const Request &request) override
    {
        transmit([this, to, request] {
            deliver(to, [request](Node &node, TimePoint now) {
                node.onRequest(now, request);
            });
        });
    }

    void sendAnswer(int, const Request &request, OutcomeKind kind, const std::string &body) override
    {
        noteOutcome(request.key, kind, body);
        const int to = request.replyTo;
        transmit([this, to, request, kind, body] {
            if (to < 0) {
                onCallerAnswer(request, kind);
                return;
            }
            deliver(to, [request, kind, body](Node &node, TimePoint now) {
                node.onForwardAnswer(now, request.id, kind, body);
            });
        });
    }

    void ran(const Request &request) override
    {
        const std::string key = request.key.encode();
        const bool again = ++m_runsOfKey[key] > 1 || ++m_works[request.work].runs > 1;
        m_tally.duplicateRuns += again ? 1 : 0;
        m_tally.falseNotRun += m_reportedNotRun.contains(key) ? 1 : 0;
    }

private:
    static constexpr int workCount = 6;
    static constexpr int maximumKeys = 3;
    static constexpr Duration lifetime = 3000 * ms;

    struct Work {
        int keys = 0;
        int runs = 0;
        bool answered = false;
        bool done = false;
        std::optional<IdempotencyKey> key;
    };

    void startWithNewKey(int index)
    {
        Work &work = m_works[index];
        Slot &placer = m_slots[m_random() % nodeCount];
        const int home = static_cast<int>(m_random() % nodeCount);
        const int witness = (home + 1 + static_cast<int>(m_random() % (nodeCount - 1))) % nodeCount;
        const Ticket ticket = placer.node->issuer.issue(
            localNow(placer), m_slots[home].node->self, m_slots[witness].node->self, ServiceId{"customer/service"}, lifetime);
        work.key = IdempotencyKey{ticket, "w" + std::to_string(index) + "-" + std::to_string(work.keys++)};
        resend(index);
    }

    void resend(int index)
    {
        Work &work = m_works[index];
        if (work.done || (work.answered && m_now > TimePoint{callersEnd})) {
            return;
        }
        const Request request{*work.key, static_cast<std::uint64_t>(index) + 1, index, ++m_requests, -1};
        const bool misdirected = m_plan.faults && chance(0.4);
        sendRequest(misdirected ? static_cast<int>(m_random() % nodeCount) : indexOf(work.key->ticket.home.id), request);
        if (m_plan.faults && chance(0.1)) {
            Request copy = request;
            copy.id = ++m_requests;
            at(between(500 * ms, 12000 * ms), [this, copy] {
                sendRequest(static_cast<int>(m_random() % nodeCount), copy);
            });
        }
        at(between(400 * ms, 6000 * ms), [this, index, key = *work.key] {
            if (m_works[index].key == key) {
                resend(index);
            }
        });
    }

    void onCallerAnswer(const Request &request, OutcomeKind kind)
    {
        Work &work = m_works[request.work];
        if (work.done || work.key != request.key || kind == OutcomeKind::InProgress) {
            return;
        }
        work.answered = true;
        if (kind == OutcomeKind::Completed) {
            work.done = true;
        } else if (kind == OutcomeKind::NotRun && work.keys < maximumKeys) {
            startWithNewKey(request.work);
        }
    }

    void noteNotRun(const std::string &key)
    {
        ++m_tally.notRun;
        m_reportedNotRun.insert(key);
        m_tally.falseNotRun += m_runsOfKey.contains(key) ? 1 : 0;
    }

    void noteOutcome(const IdempotencyKey &key, OutcomeKind kind, const std::string &body)
    {
        const std::string text = key.encode();
        if (kind == OutcomeKind::NotRun) {
            noteNotRun(text);
        } else if (kind == OutcomeKind::Unknown) {
            ++m_tally.unknown;
        } else if (kind == OutcomeKind::Completed) {
            ++m_tally.completed;
            const auto runs = m_runsOfKey.find(text);
            m_tally.wrongAnswers +=
                runs == m_runsOfKey.end() || runs->second != 1 || !(body == key.nonce || (body.empty() && m_plan.answersMayBeDropped)) ? 1
                                                                                                                                       : 0;
        }
    }

    std::vector<Work> m_works;
    std::map<std::string, int> m_runsOfKey;
    std::set<std::string> m_reportedNotRun;
    std::uint64_t m_requests = 0;
};

} // namespace jackdawdoor::idempotency::model
