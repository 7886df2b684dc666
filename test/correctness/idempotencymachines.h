/** Machines of the idempotency model test: virtual time, unrelated clocks, a faulty network, crashes, pauses and stops. */
#pragma once

#include "base/random.h"
#include "base/stablehash.h"
#include "idempotencynode.h"

#include <algorithm>
#include <memory>

namespace jackdawdoor::idempotency::model {

/** Parameters of one schedule. */
struct Plan {
    std::uint64_t seed = 0;
    bool naive = false; ///< homes don't use a witness, and a home that doesn't answer counts as not run
    bool faults = true;
    bool answersMayBeDropped = false; ///< the limits are too small for all answers
    KeyLimits limits;
};

/** Counters over one or more schedules. */
struct Tally {
    int duplicateRuns = 0; ///< keys or pieces of work that ran more than once
    int falseNotRun = 0; ///< "not run" answered for a key that had run or ran later
    int wrongAnswers = 0; ///< Completed answered for a key that did not run exactly once, or with another key's answer
    int unanswered = 0; ///< work without any answer at the end
    int overfull = 0; ///< a table exceeded its bound or kept entries after their time
    int completed = 0;
    int notRun = 0;
    int unknown = 0;
    int handedOver = 0;
    int closedByWitness = 0;
    int resumed = 0;
};

/** Nodes with their network and faults. */
class Machines : public World
{
public:
    Machines(const Plan &plan, Tally &tally)
        : m_plan(plan)
        , m_tally(tally)
        , m_random(plan.seed)
    {
        for (int index = 0; index < nodeCount; ++index) {
            m_slots.emplace_back();
            start(index);
        }
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

protected:
    static constexpr int nodeCount = 4;
    static constexpr int faultCount = 5;
    static constexpr Duration faultsEnd = 6000 * ms;
    static constexpr Duration callersEnd = 15000 * ms; ///< from then on callers that have an answer stop resending
    static constexpr Duration scheduleEnd = 55000 * ms; ///< by then the latest copies have arrived and expired
    static constexpr Duration tickInterval = 100 * ms;

    struct Slot {
        std::unique_ptr<Node> node;
        bool up = true;
        bool stopping = false;
        TimePoint pausedUntil;
        TimePoint startedAt;
        Duration clockStart{}; ///< clocks of different instances are unrelated
        double clockRate = 1;
        Duration clockLag{}; ///< total length of pauses during which the clock stood still
    };
    void runMachines()
    {
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
        for (const Slot &slot : m_slots) {
            m_tally.overfull += slot.node->home.size() + slot.node->witness.size() > 0 ? 1 : 0;
            m_tally.overfull += slot.node->home.storedBytes() + slot.node->witness.storedBytes() > 0 ? 1 : 0;
        }
    }

    void at(Duration delay, std::function<void()> action)
    {
        m_queue.emplace(m_now + delay, std::move(action));
    }

    TimePoint localNow(const Slot &slot) const
    {
        const double age = static_cast<double>((m_now - slot.startedAt - slot.clockLag).count());
        return TimePoint{slot.clockStart + Duration{static_cast<Duration::rep>(age * slot.clockRate)}};
    }

    void start(int index)
    {
        Slot &slot = m_slots[index];
        slot = Slot{};
        slot.startedAt = m_now;
        slot.clockStart = between(Duration{0}, std::chrono::hours{100});
        slot.clockRate = 0.95 + 0.1 * uniform(m_random);
        const InstanceRef self{InstanceId{"instance" + std::to_string(index)}, ++m_incarnations};
        const TicketAuthenticator hook = [](std::string_view bytes) {
            return std::to_string(stableHash(bytes));
        };
        slot.node = std::make_unique<Node>(*this, index, self, localNow(slot), m_plan.limits, hook, m_plan.naive);
    }

    /** Simulates loss, duplication, delay and reordering; some copies arrive after their ticket has expired everywhere. */
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

    /** A paused process receives messages when it resumes; a crashed one loses them. */
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
        const std::size_t stored = std::max(slot.node->home.storedBytes(), slot.node->witness.storedBytes());
        m_tally.overfull += stored > m_plan.limits.maximumStoredBytes ? 1 : 0;
    }

    void tick(int index)
    {
        deliver(index, [](Node &node, TimePoint now) {
            node.onTick(now);
        });
        Slot &slot = m_slots[index];
        const StopProgress progress = slot.node->home.stopProgress();
        if (slot.up && slot.stopping && (progress == StopProgress::HandedOver || progress == StopProgress::HandoverTimedOut)) {
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
        // Queued before all messages delivered on resumption, since the process must call resume() first.
        m_queue.emplace(slot.pausedUntil, [this, index, length, clockStops, noticed] {
            Slot &resumedSlot = m_slots[index];
            resumedSlot.clockLag += clockStops ? length : Duration{0};
            if (noticed) {
                resumedSlot.node->resume(localNow(resumedSlot));
                ++m_tally.resumed;
            }
        });
    }

    Plan m_plan;
    Tally &m_tally;
    RandomSource m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<Slot> m_slots;
    Incarnation m_incarnations = 0;
};

} // namespace jackdawdoor::idempotency::model
