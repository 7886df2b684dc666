/** Checks slot leases: never more in force than the target has, whatever messages are lost, and no holder starves. */
#include "limits/fairshare.h"
#include "limits/slotholder.h"
#include "limits/slotleasemanager.h"
#include "simulatedservice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <numeric>
#include <optional>

using namespace jackdawdoor;
using namespace jackdawdoor::limits;

namespace {

constexpr Duration step = std::chrono::milliseconds{10};

/** Simulated holders and coordinators on a network that delays and loses messages. */
class SlotNetwork
{
public:
    SlotNetwork(int holders, int targets, std::uint64_t seed)
        : m_random(seed)
        , m_policy(test::servicePolicy(targets, contract::Weight::DetectionTime))
    {
        for (int index = 0; index < holders; ++index) {
            m_holders.push_back({SlotHolder{m_policy, 1}, {InstanceId{"h" + std::to_string(index)}, 1}, 0, std::vector<Target>(targets)});
        }
    }

    double loss = 0;
    double requestProbability = 0.3; ///< chance of a new request per holder, target and step

    /** Starts a coordinator that sees some of the listed members; returns its number. */
    std::size_t startCoordinator(int listed, int visible)
    {
        m_leaseManagers.push_back(std::make_unique<SlotLeaseManager>(m_now, m_policy, 1));
        m_leaseManagers.back()->setVisibility(m_now, listed, visible);
        return m_leaseManagers.size() - 1;
    }
    void stopCoordinator(std::size_t number)
    {
        m_leaseManagers[number].reset();
    }
    SlotLeaseManager &leaseManager(std::size_t number)
    {
        return *m_leaseManagers[number];
    }
    void follow(std::size_t holder, std::size_t coordinator)
    {
        m_holders[holder].coordinator = coordinator;
    }
    SlotHolder &holder(std::size_t index)
    {
        return m_holders[index].slots;
    }
    RandomSource &random()
    {
        return m_random;
    }
    TimePoint now() const
    {
        return m_now;
    }

    void advance()
    {
        m_now += step;
        deliver();
        for (std::size_t index = 0; index < m_holders.size(); ++index) {
            work(m_holders[index]);
            const InstanceRef coordinator{InstanceId{"c" + std::to_string(m_holders[index].coordinator)}, 1};
            if (const auto demand = m_holders[index].slots.nextDemand(m_now, coordinator)) {
                send({m_holders[index].coordinator, index, *demand});
            }
        }
    }

    /** Slots of the target in force at all holders, without requests that outlived their lease: those are the specified excess. */
    int inForce(std::size_t target) const
    {
        int sum = 0;
        for (const auto &holder : m_holders) {
            const auto &id = m_policy.upstreams[target].id;
            const int free = holder.slots.freeSlots(m_now, id);
            const int inUse = holder.slots.inUse(id);
            sum += free > 0 ? free + inUse : inUse - holder.targets[target].outlived;
        }
        return sum;
    }

    bool exceeded() const
    {
        for (std::size_t target = 0; target < m_policy.upstreams.size(); ++target) {
            if (inForce(target) > m_policy.upstreams[target].slots) {
                return true;
            }
        }
        return false;
    }

    const contract::ServicePolicy &policy() const
    {
        return m_policy;
    }

private:
    struct Target {
        int outlived = 0; ///< running requests whose lease ended
    };
    struct Holder {
        SlotHolder slots;
        InstanceRef self;
        std::size_t coordinator = 0;
        std::vector<Target> targets;
        TimePoint leaseEnd{}; ///< of the latest accepted grant, computed here from the time its demand was sent
        std::vector<std::pair<std::uint64_t, TimePoint>> sent{};
    };
    struct Packet {
        std::size_t coordinator = 0;
        std::size_t holder = 0;
        SlotMessage message;
        TimePoint at{};
    };

    void send(Packet packet)
    {
        if (const auto *demand = std::get_if<SlotDemand>(&packet.message)) {
            m_holders[packet.holder].sent.emplace_back(demand->sequence, m_now);
        }
        if (uniform(m_random) >= loss) {
            // Some messages are late enough to be reordered or to arrive after their lease ended.
            const double delay = uniform(m_random) < 0.9 ? 0.005 : 3 * uniform(m_random);
            packet.at = m_now + fromSeconds(delay);
            m_packets.push_back(std::move(packet));
        }
    }

    void deliver()
    {
        std::vector<Packet> due;
        std::erase_if(m_packets, [this, &due](const Packet &packet) {
            const bool isDue = packet.at <= m_now;
            if (isDue) {
                due.push_back(packet);
            }
            return isDue;
        });
        for (auto &packet : due) {
            auto &holder = m_holders[packet.holder];
            if (const auto *grant = std::get_if<SlotGrant>(&packet.message)) {
                const InstanceRef from{InstanceId{"c" + std::to_string(packet.coordinator)}, 1};
                if (holder.slots.onGrant(m_now, from, *grant)) {
                    const auto sent = std::find_if(holder.sent.begin(), holder.sent.end(), [grant](const auto &item) {
                        return item.first == grant->sequence;
                    });
                    holder.leaseEnd = sent->second + grant->term;
                }
            } else if (m_leaseManagers[packet.coordinator]) {
                const auto answer = m_leaseManagers[packet.coordinator]->onDemand(m_now, holder.self, std::get<SlotDemand>(packet.message));
                send({packet.coordinator, packet.holder, answer});
            }
        }
    }

    void work(Holder &holder)
    {
        for (std::size_t index = 0; index < holder.targets.size(); ++index) {
            const auto &id = m_policy.upstreams[index].id;
            auto &target = holder.targets[index];
            if (uniform(m_random) < requestProbability) {
                holder.slots.tryAcquire(m_now, id);
            }
            if (uniform(m_random) < 0.2) {
                holder.slots.release(m_now, id);
            }
            const int inUse = holder.slots.inUse(id);
            target.outlived = m_now >= holder.leaseEnd ? inUse : std::min(target.outlived, inUse);
        }
    }

    RandomSource m_random;
    contract::ServicePolicy m_policy;
    std::vector<Holder> m_holders;
    std::vector<std::unique_ptr<SlotLeaseManager>> m_leaseManagers;
    std::vector<Packet> m_packets;
    TimePoint m_now;
};

void advanceAndCheck(SlotNetwork &network, double seconds)
{
    const auto end = network.now() + fromSeconds(seconds);
    while (network.now() < end) {
        network.advance();
        RC_ASSERT(!network.exceeded());
    }
}

} // namespace

TEST_CASE("holders never have more slots in force than the target, through loss, delay and changes of the coordinator")
{
    CHECK_MESSAGE(rc::check("slots are never exceeded",
                            [](std::uint64_t seed) {
                                const int holders = *rc::gen::inRange(1, 8);
                                SlotNetwork network{holders, 3, seed};
                                network.loss = *rc::gen::element(0.0, 0.1, 0.5);
                                network.requestProbability = *rc::gen::element(0.05, 0.3, 0.9);
                                auto coordinator = network.startCoordinator(holders, holders);
                                for (int change = 0; change < 5; ++change) {
                                    advanceAndCheck(network, 6 * uniform(network.random()));
                                    network.stopCoordinator(coordinator);
                                    advanceAndCheck(network, 2 * uniform(network.random()));
                                    coordinator = network.startCoordinator(holders, holders);
                                    // The holders learn of the new coordinator one by one.
                                    for (int holder = 0; holder < holders; ++holder) {
                                        network.follow(holder, coordinator);
                                        advanceAndCheck(network, 0.5 * uniform(network.random()));
                                    }
                                }
                            }),
                  "more slots were in force than a target has");
}

TEST_CASE("two sides of a partition together never exceed the slots, nor do they after it heals")
{
    CHECK_MESSAGE(rc::check("slots are never exceeded across a partition",
                            [](std::uint64_t seed) {
                                const int listed = *rc::gen::inRange(2, 9);
                                const int side = *rc::gen::inRange(1, listed);
                                SlotNetwork network{listed, 2, seed};
                                network.loss = *rc::gen::element(0.0, 0.3);
                                const auto first = network.startCoordinator(listed, listed);
                                advanceAndCheck(network, 5);
                                network.leaseManager(first).setVisibility(network.now(), listed, side);
                                const auto second = network.startCoordinator(listed, listed - side);
                                for (int holder = side; holder < listed; ++holder) {
                                    network.follow(holder, second);
                                }
                                advanceAndCheck(network, 8);
                                network.stopCoordinator(second);
                                network.leaseManager(first).setVisibility(network.now(), listed, listed);
                                for (int holder = side; holder < listed; ++holder) {
                                    network.follow(holder, first);
                                }
                                advanceAndCheck(network, 8);
                            }),
                  "the sides of a partition had more slots in force than a target has");
}

TEST_CASE("no holder starves when there are fewer slots than holders, and idle slots are reassigned")
{
    constexpr int holders = 10;
    SlotNetwork network{holders, 1, 7};
    network.startCoordinator(holders, holders);
    network.requestProbability = 1;
    const auto target = network.policy().upstreams[0].id;
    std::vector<int> served(holders, 0);
    long used = 0;
    constexpr int steps = 12000;
    for (int count = 0; count < steps; ++count) {
        network.advance();
        for (int holder = 0; holder < holders; ++holder) {
            served[holder] += network.holder(holder).inUse(target) > 0 ? 1 : 0;
        }
        used += network.inForce(0);
    }
    const int total = std::accumulate(served.begin(), served.end(), 0);
    for (const int share : served) {
        CHECK_MESSAGE(share * holders * 2 > total, "a holder got less than half of its fair share over two minutes");
    }
    CHECK_MESSAGE(used > 0.8 * steps * 6, "more than a fifth of the slots lay idle although all holders wanted them");
}

TEST_CASE("a holder that ejected an upstream leaves its slots to the others within 2 s")
{
    SlotNetwork network{2, 1, 3};
    network.startCoordinator(2, 2);
    network.requestProbability = 1;
    const auto target = network.policy().upstreams[0].id;
    const auto run = [&network] {
        for (int count = 0; count < 400; ++count) {
            network.advance();
        }
    };
    run();
    network.holder(0).setEjected(target, true);
    for (int count = 0; count < 200; ++count) {
        network.holder(0).release(network.now(), target);
        network.advance();
    }
    const int held = network.holder(1).inUse(target) + network.holder(1).freeSlots(network.now(), target);
    CHECK_MESSAGE(held >= 5, "the slots of a locally ejected upstream did not go to the other holder");
}

TEST_CASE("maxMinShares agrees with handing out slots one by one to the least served")
{
    CHECK_MESSAGE(rc::check("max-min shares",
                            [](const std::vector<std::uint8_t> &raw, std::uint8_t rotation) {
                                std::vector<int> wanted;
                                wanted.reserve(raw.size());
                                for (const auto value : raw) {
                                    wanted.push_back(value % 9);
                                }
                                const int slots = *rc::gen::inRange(0, 40);
                                std::vector<int> naive(wanted.size(), 0);
                                for (int slot = 0; slot < slots; ++slot) {
                                    int least = -1;
                                    for (int index = 0; index < int(wanted.size()); ++index) {
                                        if (naive[index] < wanted[index] && (least < 0 || naive[index] < naive[least])) {
                                            least = index;
                                        }
                                    }
                                    if (least >= 0) {
                                        ++naive[least];
                                    }
                                }
                                auto shares = maxMinShares(slots, wanted, rotation);
                                for (std::size_t index = 0; index < wanted.size(); ++index) {
                                    RC_ASSERT(shares[index] <= wanted[index]);
                                }
                                std::sort(shares.begin(), shares.end());
                                std::sort(naive.begin(), naive.end());
                                RC_ASSERT(shares == naive); // only who gets the remainder may differ
                            }),
                  "a division of slots was not max-min fair");
}

TEST_CASE("leases do not expire and slots are not exceeded while policy versions differ after a contract change")
{
    SlotNetwork network{2, 3, 5};
    network.startCoordinator(2, 2);
    for (int count = 0; count < 500; ++count) {
        network.advance();
    }
    auto changed = network.policy();
    std::swap(changed.upstreams[0], changed.upstreams[2]);
    network.holder(0).adoptPolicy(changed, 2); // ahead of the coordinator
    const auto target = network.policy().upstreams[0].id;
    for (int count = 0; count < 800; ++count) {
        if (count == 400) {
            network.leaseManager(0).adoptPolicy(network.now(), changed, 2); // holder 1 is now behind
        }
        network.advance();
        const auto &holder = network.holder(count < 400 ? 0 : 1);
        CHECK_MESSAGE(holder.freeSlots(network.now(), target) + holder.inUse(target) > 0, "a lease lapsed while versions differed");
        CHECK_MESSAGE(!network.exceeded(), "slots were exceeded while versions differed");
    }
}
