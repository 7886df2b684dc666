/** Virtual-time simulation of one service: upstreams with noise and faults, and holders that route to them. */
#pragma once

#include "contract/policy.h"
#include "health/fleethealth.h"
#include "health/localhealth.h"
#include "limits/retrybudget.h"
#include "routing/chooseupstream.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace jackdawdoor::test {

/** Health parameters for a weight, similar to those of derived policies, for which the targets are stated. */
inline contract::HealthPolicy healthPolicyFor(contract::Weight weight, int floor)
{
    contract::HealthPolicy policy;
    const bool quick = weight == contract::Weight::DetectionTime;
    policy.weight = weight;
    policy.healthyFloor = floor;
    policy.ejectionThreshold = std::log(quick ? 1e6 : 1e7);
    policy.minimumBadAnswers = quick ? 3 : 4;
    policy.slowRatio = 3;
    policy.probationDelay = std::chrono::seconds{5};
    policy.maximumProbationDelay = std::chrono::seconds{120};
    policy.probationTrials = 3;
    policy.coldStartAllowance = std::chrono::seconds{10};
    return policy;
}

inline contract::ServicePolicy servicePolicy(int upstreams, contract::Weight weight)
{
    contract::ServicePolicy policy;
    policy.customer = CustomerId{"c"};
    policy.id = makeServiceId(policy.customer, "s");
    for (int index = 0; index < upstreams; ++index) {
        policy.upstreams.push_back({makeUpstreamId(policy.id, "u" + std::to_string(index)), "", {}, 6, 400});
    }
    policy.health = healthPolicyFor(weight, upstreams / 2);
    policy.slotLeaseTerm = std::chrono::seconds{2};
    policy.connectionProofAge = std::chrono::seconds{2};
    return policy;
}

/** What an upstream does with one request. */
struct Behaviour {
    double slowness = 1; ///< factor of the normal latency
    double errorRate = 0.002;
    bool shed = false;
    bool hang = false; ///< no answer; the attempt times out
    bool hangOnOldConnections = false; ///< only requests on existing connections hang
    health::OutcomeKind failure = health::OutcomeKind::Error;
};

/** One service, its holders and, when there are several, its coordinator. */
class SimulatedService
{
public:
    using BehaviourHook = std::function<Behaviour(TimePoint now, std::size_t holder, std::size_t upstream)>;

    SimulatedService(contract::ServicePolicy policy, int holders, double ratePerHolder, std::uint64_t seed)
        : m_policy(std::move(policy))
        , m_rate(ratePerHolder)
        , m_random(seed)
        , m_fleet(m_policy, 1)
    {
        for (int index = 0; index < holders; ++index) {
            m_names.push_back(InstanceId{"i" + std::to_string(index)});
            m_holders.emplace_back(m_policy, m_names.back(), 1);
            m_budgets.emplace_back(0.1, 6);
            schedule(arrivalTime(), {Kind::Arrival, static_cast<std::size_t>(index), {}, false});
            schedule(TimePoint{}, {Kind::Tick, static_cast<std::size_t>(index), {}, false});
        }
    }

    BehaviourHook behaviour = [](TimePoint, std::size_t, std::size_t) {
        return Behaviour{};
    };
    std::function<void(TimePoint, std::size_t holder, std::size_t upstream, health::AttemptKind)> onDispatch;
    std::function<void(TimePoint, std::size_t holder, const health::HealthChange &)> onChange;
    double idempotentShare = 1;

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_now = end;
    }

    TimePoint now() const
    {
        return m_now;
    }
    health::LocalHealth &holder(std::size_t index)
    {
        return m_holders[index];
    }
    health::FleetHealth &fleet()
    {
        return m_fleet;
    }
    RandomSource &random()
    {
        return m_random;
    }
    const contract::ServicePolicy &policy() const
    {
        return m_policy;
    }

private:
    enum class Kind { Arrival, Finish, Tick };
    struct Event {
        Kind kind = Kind::Tick;
        std::size_t holder = 0;
        health::Observation observation{};
        bool idempotent = false; ///< of a Finish: it may be tried once more
        TimePoint at{};
        bool operator>(const Event &other) const
        {
            return at > other.at;
        }
    };

    void schedule(TimePoint at, Event event)
    {
        event.at = at;
        m_events.push(std::move(event));
    }

    TimePoint arrivalTime()
    {
        return m_now + fromSeconds(std::exponential_distribution<double>{m_rate}(m_random));
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            schedule(arrivalTime(), event);
            m_budgets[event.holder].onOriginal();
            dispatch(event.holder, uniform(m_random) < idempotentShare, {});
            return;
        case Kind::Finish:
            note(event.holder, m_holders[event.holder].record(m_now, event.observation));
            exchange(event.holder, false);
            retry(event);
            return;
        case Kind::Tick:
            note(event.holder, m_holders[event.holder].onTick(m_now));
            exchange(event.holder, m_now.time_since_epoch() % std::chrono::milliseconds{500} == Duration::zero());
            schedule(m_now + std::chrono::milliseconds{100}, event);
            return;
        }
    }

    /** Retries a failed idempotent request once at another upstream within the retry budget, as the core does. */
    void retry(const Event &event)
    {
        const bool retryable = event.idempotent && health::isFailure(event.observation.outcome);
        if (retryable && m_budgets[event.holder].tryRetry()) {
            dispatch(event.holder, true, {event.observation.upstream});
        }
    }

    void dispatch(std::size_t holderIndex, bool idempotent, const std::vector<UpstreamId> &excluded)
    {
        auto &holder = m_holders[holderIndex];
        m_candidates.resize(m_policy.upstreams.size());
        for (std::size_t index = 0; index < m_candidates.size(); ++index) {
            auto &candidate = m_candidates[index];
            candidate.upstream = m_policy.upstreams[index].id;
            candidate.state = holder.stateOf(m_now, candidate.upstream);
            candidate.freeSlots = std::max(0, m_policy.upstreams[index].slots - candidate.state.inProgress);
            candidate.expectedLatency = holder.expectedLatency(m_operation, candidate.upstream);
        }
        const routing::RoutingRequest request{m_operation, idempotent, excluded};
        const auto decision = routing::chooseUpstream(m_now, request, m_candidates, m_random);
        if (!decision.choice) {
            return;
        }
        send(holderIndex, *decision.choice, decision, idempotent && excluded.empty());
    }

    void send(std::size_t holderIndex, std::size_t upstream, const routing::RoutingDecision &decision, bool retryable)
    {
        const auto &id = m_policy.upstreams[upstream].id;
        const auto attempt = ++m_attempt;
        m_holders[holderIndex].attemptStarted(m_now, id, attempt, m_operation, decision.kind, decision.newConnection);
        if (onDispatch) {
            onDispatch(m_now, holderIndex, upstream, decision.kind);
        }
        const auto behave = behaviour(m_now, holderIndex, upstream);
        const double latency = 0.020 * behave.slowness * std::exp(0.5 * std::normal_distribution<double>{}(m_random));
        health::Observation observation{
            id, m_operation, attempt, health::OutcomeKind::Success, fromSeconds(latency), decision.newConnection, decision.kind};
        if (behave.hang || (behave.hangOnOldConnections && !decision.newConnection)) {
            observation.outcome = health::OutcomeKind::Timeout;
            observation.firstByte = std::chrono::seconds{1};
        } else if (behave.shed) {
            observation.outcome = health::OutcomeKind::Shed;
            observation.firstByte = std::chrono::milliseconds{1};
        } else if (uniform(m_random) < behave.errorRate) {
            observation.outcome = behave.failure;
            observation.firstByte = std::chrono::milliseconds{1}; // fast failures, which must not attract load
        }
        schedule(m_now + observation.firstByte, {Kind::Finish, holderIndex, observation, retryable});
    }

    void note(std::size_t holder, const std::vector<health::HealthChange> &changes)
    {
        for (const auto &change : changes) {
            if (onChange) {
                onChange(m_now, holder, change);
            }
        }
    }

    void exchange(std::size_t holderIndex, bool due)
    {
        auto &holder = m_holders[holderIndex];
        if (m_holders.size() < 2 || !(due || holder.evidenceUrgent())) {
            return;
        }
        m_fleet.onEvidence(m_now, m_names[holderIndex], holder.takeEvidence(m_now));
        const auto verdicts = m_fleet.evaluate(m_now);
        for (std::size_t index = 0; index < m_holders.size(); ++index) {
            note(index, m_holders[index].applyVerdicts(m_now, verdicts));
        }
    }

    contract::ServicePolicy m_policy;
    double m_rate;
    RandomSource m_random;
    health::FleetHealth m_fleet;
    std::vector<InstanceId> m_names;
    std::vector<health::LocalHealth> m_holders;
    std::vector<limits::RetryBudget> m_budgets;
    std::vector<routing::RoutingCandidate> m_candidates;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    OperationId m_operation{"c/s/read"};
    TimePoint m_now;
    std::uint64_t m_attempt = 0;
};

} // namespace jackdawdoor::test
