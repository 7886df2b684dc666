/** Membership instances in virtual time, connected by lossy links. */
#pragma once

#include "membership/membership.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::test {

/** Runs processes that exchange messages with a delay of one step (10 ms). Virtual time starts at 0. */
class MembershipFleet
{
public:
    struct Process {
        std::string address;
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<membership::Membership> membership;
        bool crashed = false;
        bool paused = false;
        Duration tickOffset{};
        std::uint64_t bytesSent = 0;
    };

    explicit MembershipFleet(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** Starts a process; returns its index, which is also part of its address. */
    std::size_t start(const std::string &id, Incarnation incarnation)
    {
        Process process;
        process.address = "10.0.0." + std::to_string(processes.size()) + ":7000";
        process.random = std::make_unique<RandomSource>(m_random());
        const DataCentreId dataCentre{"dc" + std::to_string(processes.size() % 3)};
        const membership::Member self{{InstanceId{id}, incarnation}, process.address, dataCentre, membership::MemberState::Live};
        process.membership = std::make_unique<membership::Membership>(self, *process.random);
        process.tickOffset = std::chrono::microseconds{m_random() % 100'000};
        processes.push_back(std::move(process));
        return processes.size() - 1;
    }

    /** Starts instances "i0", "i1", ... and passes each the list of all. */
    void startAll(std::size_t count)
    {
        membership::InstanceList list;
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t number = start("i" + std::to_string(index), 1);
            list.instances.push_back({InstanceId{"i" + std::to_string(index)}, processes[number].address, DataCentreId{"dc0"}, false});
        }
        for (std::size_t index = 0; index < count; ++index) {
            send(index, processes[index].membership->onInstanceList(now, list));
        }
    }

    /** Advances time by `duration`; calls `check` after each step of 10 ms. */
    void run(Duration duration, const std::function<void()> &check = {})
    {
        for (const TimePoint end = now + duration; now < end; now += step) {
            deliver();
            for (std::size_t index = 0; index < processes.size(); ++index) {
                const bool due = (now.time_since_epoch() + processes[index].tickOffset) % std::chrono::milliseconds{100} < step;
                if (due && runs(index)) {
                    send(index, processes[index].membership->onTick(now));
                }
            }
            if (check) {
                check();
            }
        }
    }

    bool runs(std::size_t index) const
    {
        return !processes[index].crashed && !processes[index].paused;
    }

    /** State of the instance in the observer's view; Failed when it isn't there. */
    membership::MemberState stateAt(std::size_t observer, const std::string &id) const
    {
        const auto view = processes[observer].membership->view();
        const auto *member = view->find(InstanceId{id});
        return member != nullptr ? member->state : membership::MemberState::Failed;
    }

    /** True when all running processes have the instance in that state. */
    bool allShow(const std::string &id, membership::MemberState state) const
    {
        for (std::size_t index = 0; index < processes.size(); ++index) {
            if (runs(index) && stateAt(index, id) != state) {
                return false;
            }
        }
        return true;
    }

    bool allLive(std::size_t count) const
    {
        for (std::size_t index = 0; index < count; ++index) {
            if (!allShow("i" + std::to_string(index), membership::MemberState::Live)) {
                return false;
            }
        }
        return true;
    }

    TimePoint now;
    std::vector<Process> processes;
    std::function<bool(std::size_t, std::size_t)> lost; ///< whether a message from the first to the second process is lost

private:
    static constexpr Duration step = std::chrono::milliseconds{10};

    struct Transit {
        std::size_t to;
        InstanceRef from;
        membership::MembershipMessage message;
    };

    void send(std::size_t from, const membership::MembershipMessages &messages)
    {
        for (const auto &outgoing : messages) {
            const std::string address = processes[from].membership->addressOf(outgoing.to);
            std::visit(
                [&](const auto &typed) {
                    processes[from].bytesSent += nlohmann::json::to_cbor(nlohmann::json(typed)).size();
                },
                outgoing.message);
            for (std::size_t to = 0; to < processes.size(); ++to) {
                if (processes[to].address == address && !processes[to].crashed && !(lost && lost(from, to))) {
                    m_transit.push_back({to, processes[from].membership->view()->self, outgoing.message});
                }
            }
        }
    }

    /** Delivers the messages of the previous step; those to a paused process stay queued, as in a socket buffer. */
    void deliver()
    {
        for (Transit &transit : std::exchange(m_transit, {})) {
            if (processes[transit.to].paused) {
                m_transit.push_back(std::move(transit));
            } else if (!processes[transit.to].crashed) {
                send(transit.to, processes[transit.to].membership->onPeerMessage(now, transit.from, transit.message));
            }
        }
    }

    std::mt19937_64 m_random;
    std::vector<Transit> m_transit;
};

} // namespace jackdawdoor::test
