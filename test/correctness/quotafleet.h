/** Instances with quotas of organisations in virtual time, connected by links that lose, delay and repeat reports. */
#pragma once

#include "limits/organisationquota.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::test {

/** Demand for one organisation from a list of instances. */
struct QuotaDemand {
    std::uint64_t organisation = 0;
    std::vector<std::size_t> instances;
    std::function<double(Duration)> requestsPerSecond; ///< at a time since the start
};

/** Admissions and requests of one organisation in one step. */
struct QuotaStep {
    int asked = 0;
    int admitted = 0;
};

/** A fleet of quotas. The schedule depends only on the seed. */
class QuotaFleet
{
public:
    static constexpr Duration step = std::chrono::milliseconds{2};

    QuotaFleet(std::uint64_t seed, std::size_t instances)
        : m_random(seed)
        , m_quotas(instances)
        , m_incarnations(instances, 0)
        , m_pausedUntil(instances, m_now)
        , m_queue(maximumDelaySteps + 1)
    {
        for (std::size_t index = 0; index < instances; ++index) {
            restart(index);
        }
    }

    /** The schedule of links: probability of loss, and which pairs are cut. */
    std::function<double(std::size_t, std::size_t)> loss = [](std::size_t from, std::size_t to) {
        return (from * 31 + to) % 20 == 0 ? 0.3 : 0.1;
    };
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) {
        return false;
    };
    std::map<std::uint64_t, limits::QuotaLimit> limits;

    void restart(std::size_t index)
    {
        ++m_incarnations[index];
        m_quotas[index] = std::make_unique<limits::OrganisationQuota>(m_now, m_random(), [this](std::uint64_t key) {
            const auto found = limits.find(key);
            return found == limits.end() ? limits::QuotaLimit{} : found->second;
        });
    }

    void pause(std::size_t index, Duration time)
    {
        m_pausedUntil[index] = m_now + time;
    }

    void play(Duration time, const std::vector<QuotaDemand> &demands)
    {
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += step) {
            deliver();
            for (const QuotaDemand &demand : demands) {
                ask(demand);
            }
            for (std::size_t index = 0; index < m_quotas.size(); ++index) {
                report(index);
            }
            ++m_steps;
        }
    }

    /** Largest number of admissions in any window, over the number that the platform allows for a steady limit. */
    double worstWindow(std::uint64_t organisation, const limits::QuotaLimit &limit, Duration from = {}) const
    {
        const auto found = m_history.find(organisation);
        const auto window = static_cast<std::size_t>(std::chrono::seconds{5} / step);
        const double allowed = (limit.requestsPerSecond * 5 + limit.burst) * 1.1 + 20;
        int inWindow = 0;
        int most = 0;
        for (auto index = static_cast<std::size_t>(from / step); index < found->second.size(); ++index) {
            inWindow += found->second[index].admitted;
            if (index >= window + static_cast<std::size_t>(from / step)) {
                inWindow -= found->second[index - window].admitted;
            }
            most = std::max(most, inWindow);
        }
        return most / allowed;
    }

    /** Requests and admissions between two times since the start. */
    QuotaStep total(std::uint64_t organisation, Duration from, Duration to) const
    {
        QuotaStep sum;
        const auto &steps = m_history.at(organisation);
        for (auto index = static_cast<std::size_t>(from / step); index < std::min<std::size_t>(steps.size(), to / step); ++index) {
            sum.asked += steps[index].asked;
            sum.admitted += steps[index].admitted;
        }
        return sum;
    }

    double admittedPart(std::uint64_t organisation, Duration from, Duration to) const
    {
        const QuotaStep sum = total(organisation, from, to);
        return static_cast<double>(sum.admitted) / std::max(1, sum.asked);
    }

    /** Admissions of one instance so far. */
    int admittedAt(std::size_t index) const
    {
        const auto found = m_admittedAt.find(index);
        return found == m_admittedAt.end() ? 0 : found->second;
    }

    limits::OrganisationQuota &quota(std::size_t index)
    {
        return *m_quotas[index];
    }

    std::uint64_t reports() const
    {
        return m_reports;
    }

    RandomSource &random()
    {
        return m_random;
    }

private:
    static constexpr std::size_t maximumDelaySteps = 200;

    struct Delivery {
        std::size_t from;
        std::size_t to;
        Incarnation incarnation;
        std::shared_ptr<const limits::QuotaReport> report;
    };

    static InstanceId idOf(std::size_t index)
    {
        return InstanceId{"i" + std::to_string(index)};
    }

    bool paused(std::size_t index) const
    {
        return m_now < m_pausedUntil[index];
    }

    void ask(const QuotaDemand &demand)
    {
        auto &steps = m_history[demand.organisation];
        steps.resize(m_steps + 1);
        const double expected = demand.requestsPerSecond(m_now - m_begin) * toSeconds(step);
        const int requests = expected > 0 ? std::poisson_distribution<int>{expected}(m_random) : 0;
        for (int count = 0; count < requests; ++count) {
            const std::size_t index = demand.instances[m_random() % demand.instances.size()];
            if (paused(index)) {
                continue;
            }
            ++steps.back().asked;
            if (m_quotas[index]->admit(m_now, demand.organisation, limits[demand.organisation]).admitted) {
                ++steps.back().admitted;
                ++m_admittedAt[index];
            }
        }
    }

    void report(std::size_t from)
    {
        if (paused(from)) {
            return;
        }
        for (limits::QuotaReport &part : m_quotas[from]->takeReport(m_now, m_quotas[from]->reporters().size())) {
            const auto shared = std::make_shared<const limits::QuotaReport>(std::move(part));
            for (std::size_t to = 0; to < m_quotas.size(); ++to) {
                if (to != from && !cut(from, to)) {
                    send({from, to, m_incarnations[from], shared});
                }
            }
        }
    }

    void send(const Delivery &delivery)
    {
        ++m_reports;
        const double fate = uniform(m_random);
        const double lost = loss(delivery.from, delivery.to);
        if (fate < lost) {
            return;
        }
        // Of the rest, one in a hundred is late by up to 400 ms, and one in a hundred arrives twice.
        const std::size_t usual = 1 + m_random() % 3;
        const bool late = fate > 0.99;
        later(late ? 1 + m_random() % maximumDelaySteps : usual, delivery);
        if (fate > 0.98 && !late) {
            later(1 + m_random() % maximumDelaySteps, delivery);
        }
    }

    void later(std::size_t steps, const Delivery &delivery)
    {
        m_queue[(m_steps + steps) % m_queue.size()].push_back(delivery);
    }

    void deliver()
    {
        std::vector<Delivery> due;
        due.swap(m_queue[m_steps % m_queue.size()]);
        for (const Delivery &delivery : due) {
            if (paused(delivery.to)) {
                later(1, delivery); // waits in the socket's buffer
            } else {
                m_quotas[delivery.to]->receive(m_now, {idOf(delivery.from), delivery.incarnation}, *delivery.report);
            }
        }
    }

    RandomSource m_random;
    TimePoint m_begin{std::chrono::hours{1}};
    TimePoint m_now = m_begin;
    std::size_t m_steps = 0;
    std::vector<std::unique_ptr<limits::OrganisationQuota>> m_quotas;
    std::vector<Incarnation> m_incarnations;
    std::vector<TimePoint> m_pausedUntil;
    std::vector<std::vector<Delivery>> m_queue;
    std::map<std::uint64_t, std::vector<QuotaStep>> m_history;
    std::map<std::size_t, int> m_admittedAt;
    std::uint64_t m_reports = 0;
};

} // namespace jackdawdoor::test
