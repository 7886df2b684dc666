/** Virtual fleet for the idempotency model test: network, clocks, callers, faults and the checked invariants. */
#pragma once

#include "base/random.h"
#include "base/stablehash.h"
#include "idempotencynode.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

namespace jackdawdoor::idempotency::model {

/** What one schedule is made of. */
struct Plan {
    std::uint64_t seed = 0;
    bool naive = false; ///< homes do without a witness, and silence of a home counts as not run
    bool faults = true;
    KeyLimits limits;
};

/** What was seen in one or more schedules. */
struct Tally {
    int duplicateRuns = 0; ///< keys or pieces of work that ran more than once
    int falseNotRun = 0; ///< "not run" said for a key that had run or ran later
    int wrongAnswers = 0; ///< Completed said for a key that did not run once, or with another's answer
    int unanswered = 0; ///< work without any answer at the end
    int overfull = 0; ///< a table exceeded its bound or kept entries after their time
    int completed = 0;
    int notRun = 0;
    int unknown = 0;
    int handedOver = 0;
    int closedByWitness = 0;
    int resumed = 0;
};

/** One schedule. */
class Fleet : public World
{
public:
    Fleet(const Plan &plan, Tally &tally)
        : m_plan(plan)
        , m_tally(tally)
        , m_random(plan.seed)
    {
        for (int index = 0; index < nodeCount; ++index) {
            m_slots.emplace_back();
            start(index);
        }
    }

    void run()
    {
        for (int work = 0; work < workCount; ++work) {
            m_works.emplace_back();
            at(between(0 * ms, 3000 * ms), [this, work] {
                startAnew(work);
            });
        }
        for (int index = 0; index < nodeCount; ++index) {
            tick(index);
        }
        for (int fault = 0; m_plan.faults && fault < faultCount; ++fault) {
            at(between(0 * ms, faultsEnd), [this] {
                injectFault();
            });
        }
        while (!m_queue.empty() && m_queue.begin()->first < TimePoint{scheduleEnd}) {
            const auto action = std::move(m_queue.begin()->second);
            m_now = m_queue.begin()->first;
            m_queue.erase(m_queue.begin());
            action();
        }
        for (const Work &work : m_works) {
            m_tally.unanswered += work.answered ? 0 : 1;
        }
        for (const Slot &slot : m_slots) {
            m_tally.overfull += slot.node->home.size() + slot.node->witness.size() > 0 ? 1 : 0;
            m_tally.overfull += slot.node->home.storedBytes() + slot.node->witness.storedBytes() > 0 ? 1 : 0;
        }
    }

    void sendControl(int from, const Outgoing<IdempotencyMessage> &message) override
    {
        const InstanceRef sender = m_slots[from].node->self;
        if (std::holds_alternative<Closed>(message.message)) {
            const IdempotencyKey &key = std::get<Closed>(message.message).key;
            saidNotRun(key.encode());
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
        m_tally.falseNotRun += m_saidNotRun.contains(key) ? 1 : 0;
    }

    void later(int index, Duration delay, std::function<void()> action) override
    {
        const Incarnation incarnation = m_slots[index].node->self.incarnation;
        at(delay, [this, index, incarnation, action = std::move(action)] {
            deliver(index, [incarnation, action](Node &node, TimePoint now) {
                if (node.self.incarnation == incarnation) {
                    node.setNow(now);
                    action();
                }
            });
        });
    }

    bool chance(double probability) override
    {
        return uniform(m_random) < probability;
    }

    Duration between(Duration low, Duration high) override
    {
        return low + Duration{static_cast<Duration::rep>(uniform(m_random) * static_cast<double>((high - low).count()))};
    }

    int indexOf(const InstanceId &id) const override
    {
        return id.value.back() - '0';
    }

private:
    static constexpr int nodeCount = 4;
    static constexpr int workCount = 6;
    static constexpr int faultCount = 5;
    static constexpr int maximumKeys = 3;
    static constexpr Duration faultsEnd = 6000 * ms;
    static constexpr Duration callersEnd = 15000 * ms; ///< callers that have an answer stop asking
    static constexpr Duration scheduleEnd = 55000 * ms; ///< by then the latest copies have arrived and expired
    static constexpr Duration lifetime = 3000 * ms;
    static constexpr Duration tickInterval = 100 * ms;

    struct Slot {
        std::unique_ptr<Node> node;
        bool up = true;
        bool stopping = false;
        TimePoint pausedUntil;
        TimePoint bornAt;
        Duration clockStart{}; ///< clocks of different instances have nothing in common
        double clockRate = 1;
        Duration missed{}; ///< of pauses that the clock did not count
    };
    struct Work {
        int keys = 0;
        int runs = 0;
        bool answered = false;
        bool done = false;
        std::optional<IdempotencyKey> key;
    };

    void at(Duration delay, std::function<void()> action)
    {
        m_queue.emplace(m_now + delay, std::move(action));
    }

    TimePoint localNow(const Slot &slot) const
    {
        const double age = static_cast<double>((m_now - slot.bornAt - slot.missed).count());
        return TimePoint{slot.clockStart + Duration{static_cast<Duration::rep>(age * slot.clockRate)}};
    }

    void start(int index)
    {
        Slot &slot = m_slots[index];
        slot = Slot{};
        slot.bornAt = m_now;
        slot.clockStart = between(Duration{0}, std::chrono::hours{100});
        slot.clockRate = 0.95 + 0.1 * uniform(m_random);
        const InstanceRef self{InstanceId{"instance" + std::to_string(index)}, ++m_incarnations};
        const TicketAuthenticator hook = [](std::string_view bytes) {
            return std::to_string(stableHash(bytes));
        };
        slot.node = std::make_unique<Node>(*this, index, self, localNow(slot), m_plan.limits, hook, m_plan.naive);
    }

    /** Loses, duplicates, delays and reorders; some copies arrive after their ticket has expired everywhere. */
    void transmit(const std::function<void()> &action)
    {
        if (m_plan.faults && chance(0.08)) {
            return;
        }
        const int copies = m_plan.faults && chance(0.1) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool late = m_plan.faults && chance(0.05);
            at(late ? between(20 * ms, 9000 * ms) : between(1 * ms, 15 * ms), action);
        }
    }

    /** A paused process finds what was sent to it when it wakes; a dead one loses it. */
    void deliver(int index, const std::function<void(Node &, TimePoint)> &action)
    {
        Slot &slot = m_slots[index];
        if (!slot.up) {
            return;
        }
        if (m_now < slot.pausedUntil) {
            m_queue.emplace(slot.pausedUntil, [this, index, action] {
                deliver(index, action);
            });
            return;
        }
        action(*slot.node, localNow(slot));
        const std::size_t bound = m_plan.limits.maximumEntries;
        m_tally.overfull += slot.node->home.size() > bound || slot.node->witness.size() > bound ? 1 : 0;
    }

    void tick(int index)
    {
        deliver(index, [](Node &node, TimePoint now) {
            node.onTick(now);
        });
        Slot &slot = m_slots[index];
        const StopProgress progress = slot.node->home.stopProgress();
        if (slot.up && slot.stopping && (progress == StopProgress::HandedOver || progress == StopProgress::GivenUp)) {
            m_tally.handedOver += progress == StopProgress::HandedOver ? 1 : 0;
            replace(index);
        }
        at(m_now < TimePoint{callersEnd} ? tickInterval : 5 * tickInterval, [this, index] {
            tick(index);
        });
    }

    void replace(int index)
    {
        m_slots[index].up = false;
        at(between(50 * ms, 2000 * ms), [this, index] {
            start(index);
        });
    }

    void injectFault()
    {
        const int index = static_cast<int>(m_random() % nodeCount);
        Slot &slot = m_slots[index];
        if (!slot.up || m_now < slot.pausedUntil) {
            return;
        }
        if (chance(0.3)) {
            replace(index);
        } else if (chance(0.5)) {
            slot.stopping = true;
            slot.node->beginStop(localNow(slot));
        } else {
            pause(index);
        }
    }

    void pause(int index)
    {
        Slot &slot = m_slots[index];
        const Duration length = between(200 * ms, 6000 * ms);
        const bool clockStops = chance(0.3);
        const bool noticed = chance(0.7);
        slot.pausedUntil = m_now + length;
        // Queued before everything that is delivered at the wake-up, as the process must call it first.
        m_queue.emplace(slot.pausedUntil, [this, index, length, clockStops, noticed] {
            Slot &woken = m_slots[index];
            woken.missed += clockStops ? length : Duration{0};
            if (noticed) {
                woken.node->resume(localNow(woken));
                ++m_tally.resumed;
            }
        });
    }

    void startAnew(int index)
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
        const Request request{*work.key, index, ++m_requests, -1};
        const bool stray = m_plan.faults && chance(0.4);
        sendRequest(stray ? static_cast<int>(m_random() % nodeCount) : indexOf(work.key->ticket.home.id), request);
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
            startAnew(request.work);
        }
    }

    void saidNotRun(const std::string &key)
    {
        ++m_tally.notRun;
        m_saidNotRun.insert(key);
        m_tally.falseNotRun += m_runsOfKey.contains(key) ? 1 : 0;
    }

    void noteOutcome(const IdempotencyKey &key, OutcomeKind kind, const std::string &body)
    {
        const std::string text = key.encode();
        if (kind == OutcomeKind::NotRun) {
            saidNotRun(text);
        } else if (kind == OutcomeKind::Unknown) {
            ++m_tally.unknown;
        } else if (kind == OutcomeKind::Completed) {
            ++m_tally.completed;
            const auto runs = m_runsOfKey.find(text);
            m_tally.wrongAnswers += runs == m_runsOfKey.end() || runs->second != 1 || body != key.nonce ? 1 : 0;
        }
    }

    Plan m_plan;
    Tally &m_tally;
    RandomSource m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<Slot> m_slots;
    std::vector<Work> m_works;
    std::map<std::string, int> m_runsOfKey;
    std::set<std::string> m_saidNotRun;
    Incarnation m_incarnations = 0;
    std::uint64_t m_requests = 0;
};

} // namespace jackdawdoor::idempotency::model
