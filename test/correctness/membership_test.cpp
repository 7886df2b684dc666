/** The failure detector in virtual time: detection, false positives, pauses, replaced processes, partitions.
 *
 * Each case runs with several fixed seeds; the seed is part of each message.
 */
#include "correctness/membershipfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace jackdawdoor;
using namespace jackdawdoor::membership;
using jackdawdoor::test::MembershipFleet;
using namespace std::chrono_literals;

TEST_CASE("48 instances discover each other, detect a crash within 15 s, and keep to their traffic budget")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        MembershipFleet fleet{seed};
        fleet.startAll(48);
        fleet.run(10s);
        CHECK_MESSAGE(fleet.allLive(48), "instances of one list did not discover each other in 10 s");
        std::uint64_t before = fleet.processes[1].bytesSent;
        fleet.run(20s);
        CHECK_MESSAGE(fleet.processes[1].bytesSent - before < 20 * 512, "a quiet instance uses over a quarter of 2 KB/s");

        fleet.processes[7].crashed = true;
        before = fleet.processes[1].bytesSent;
        fleet.run(15s);
        CHECK_MESSAGE(fleet.allShow("i7", MemberState::Failed), "a crash was not detected everywhere in 15 s");
        CHECK_MESSAGE(fleet.processes[1].bytesSent - before < 15 * 1024, "a crash makes an instance send over 1 KB/s");
        CHECK_MESSAGE(fleet.processes[1].membership->view()->visible == 47, "a failed listed member counts as visible");
        CHECK_MESSAGE(fleet.processes[1].membership->view()->listed == 48, "a failed member vanished from the list");
    }
}

TEST_CASE("one-way losses with working indirect paths cause no failure, and views stay stable")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        MembershipFleet fleet{seed};
        fleet.startAll(16);
        fleet.run(10s);
        REQUIRE_MESSAGE(fleet.allLive(16), "the fleet did not start");
        std::set<std::pair<std::size_t, std::size_t>> dead;
        while (dead.size() < 48) {
            dead.emplace(random() % 16, random() % 16);
        }
        fleet.lost = [&](std::size_t from, std::size_t to) {
            return dead.count({from, to}) != 0 || random() % 100 < 2;
        };
        bool failed = false;
        std::vector<std::uint64_t> epochs(16);
        for (std::size_t index = 0; index < 16; ++index) {
            epochs[index] = fleet.processes[index].membership->view()->epoch;
        }
        fleet.run(120s, [&] {
            for (const auto &process : fleet.processes) {
                const auto view = process.membership->view();
                failed = failed || std::any_of(view->members.begin(), view->members.end(), [](const Member &member) {
                             return member.state == MemberState::Failed;
                         });
            }
        });
        CHECK_MESSAGE(!failed, "a running member was declared failed although indirect pings reach it");
        for (std::size_t index = 0; index < 16; ++index) {
            // 120 rounds over 20% dead links: one suspicion in ten rounds would already be flapping.
            const std::uint64_t changes = fleet.processes[index].membership->view()->epoch - epochs[index];
            CHECK_MESSAGE(changes <= 24, "the view of " << index << " changed " << changes << " times in 120 s");
        }
    }
}

TEST_CASE("only the isolated instance fails when it can't receive or can't send, and it recovers")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        MembershipFleet fleet{seed};
        fleet.startAll(16);
        fleet.run(10s);
        const bool cannotReceive = seed % 2 == 0;
        fleet.lost = [cannotReceive](std::size_t from, std::size_t to) {
            return cannotReceive ? to == 3 : from == 3;
        };
        bool othersFailed = false;
        std::set<std::size_t> suspected;
        const auto watchOthers = [&] {
            for (std::size_t observer = 0; observer < 16; ++observer) {
                for (std::size_t index = 0; index < 16 && observer != 3; ++index) {
                    const MemberState state = index == 3 ? MemberState::Live : fleet.stateAt(observer, "i" + std::to_string(index));
                    othersFailed = othersFailed || state == MemberState::Failed;
                    if (state != MemberState::Live) {
                        suspected.insert(index);
                    }
                }
            }
        };
        fleet.run(90s, watchOthers);
        CHECK_MESSAGE(fleet.stateAt(0, "i3") == MemberState::Failed, "an unreachable instance was not declared failed");
        CHECK_MESSAGE(fleet.processes[3].membership->view()->visible <= 2, "an isolated instance still counts the others as visible");
        fleet.lost = {};
        fleet.run(20s, watchOthers);
        CHECK_MESSAGE(!othersFailed, "an isolated instance caused failures among the others");
        // It considers itself isolated after three failed probes; those can't be told from real failures.
        CHECK_MESSAGE(suspected.size() <= 3, "an isolated instance made " << suspected.size() << " members suspect");
        CHECK_MESSAGE(fleet.allLive(16), "an isolated instance did not recover in 20 s");
    }
}

TEST_CASE("the sides of a partition see exactly their own members, and merge when it heals")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        MembershipFleet fleet{seed};
        fleet.startAll(18);
        fleet.run(10s);
        fleet.lost = [](std::size_t from, std::size_t to) {
            return (from < 6) != (to < 6);
        };
        fleet.run(20s);
        // Longer than failedRetention, after which failed members that aren't listed are removed.
        fleet.run(700s, [&] {
            const std::size_t small = fleet.processes[0].membership->view()->visible;
            const std::size_t large = fleet.processes[17].membership->view()->visible;
            REQUIRE_MESSAGE(small == 6, "the small side sees " << small);
            REQUIRE_MESSAGE(large == 12, "the large side sees " << large);
        });
        fleet.lost = {};
        fleet.run(20s);
        CHECK_MESSAGE(fleet.allLive(18), "the sides did not merge within 20 s");
    }
}

TEST_CASE("a resumed instance detects its pause at once and rejoins only after another member has answered")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        MembershipFleet fleet{seed};
        fleet.startAll(12);
        fleet.run(10s);
        // The pause begins with a ping in flight: its answer, read after resuming, proves nothing about the time since.
        for (const std::uint64_t sent = fleet.processes[4].bytesSent; fleet.processes[4].bytesSent == sent;) {
            fleet.run(10ms);
        }
        fleet.processes[4].paused = true;
        fleet.run(20s);
        CHECK_MESSAGE(fleet.allShow("i4", MemberState::Failed), "a paused instance was not declared failed everywhere");
        Membership &resumed = *fleet.processes[4].membership;
        CHECK_MESSAGE(resumed.rejoiningAfterPause(fleet.now), "the instance would dispatch before its first tick after a pause");
        fleet.processes[4].paused = false;
        fleet.lost = [](std::size_t from, std::size_t to) {
            return from == 4 || to == 4;
        };
        fleet.run(1s);
        CHECK_MESSAGE(resumed.rejoiningAfterPause(fleet.now), "the instance rejoined without an answer from any member");
        CHECK_MESSAGE(resumed.pauses() == 1, "a pause was not counted once");
        fleet.lost = {};
        fleet.run(10s);
        CHECK_MESSAGE(!resumed.rejoiningAfterPause(fleet.now), "the pause did not end in 10 s");
        CHECK_MESSAGE(fleet.allLive(12), "a resumed instance is not live everywhere after 10 s");
        CHECK_MESSAGE(!resumed.superseded(), "a resumed instance considers itself superseded");
    }
}

TEST_CASE("a new incarnation replaces the old one, which is ignored and told so when it resumes")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        MembershipFleet fleet{seed};
        fleet.startAll(12);
        fleet.run(10s);
        fleet.processes[4].paused = true;
        fleet.run(seed * 2s);
        const std::size_t replacement = fleet.start("i4", 2);
        fleet.processes[replacement].membership->onInstanceList(
            fleet.now, InstanceList{{{InstanceId{"i0"}, fleet.processes[0].address, DataCentreId{"dc0"}, false}}});
        fleet.run(12s);
        fleet.processes[4].paused = false;
        bool oldSeen = false;
        fleet.run(12s, [&] {
            for (std::size_t index = 0; index < fleet.processes.size(); ++index) {
                const auto view = fleet.processes[index].membership->view();
                const Member *member = view->find(InstanceId{"i4"});
                oldSeen = oldSeen || (index != 4 && (member == nullptr || member->ref.incarnation != 2));
            }
        });
        CHECK_MESSAGE(!oldSeen, "an old incarnation reappeared");
        CHECK_MESSAGE(fleet.processes[4].membership->superseded(), "an old incarnation was not told that it is superseded");
        CHECK_MESSAGE(!fleet.processes[replacement].membership->superseded(), "the new incarnation considers itself superseded");
        fleet.processes[4].crashed = true;
        CHECK_MESSAGE(fleet.allLive(12), "the new incarnation is not live everywhere");
    }
}

TEST_CASE("a leaving instance is known as leaving within seconds")
{
    MembershipFleet fleet{1};
    fleet.startAll(24);
    fleet.run(10s);
    fleet.processes[5].membership->beginLeave(fleet.now);
    fleet.run(8s);
    CHECK_MESSAGE(fleet.allShow("i5", MemberState::Leaving), "a planned stop did not reach all instances in 8 s");
}

// Guards against a directory that goes on naming an instance after its planned stop: gossip alone did not reach every member.
TEST_CASE("every member knows of a planned stop within two seconds, also when a tenth of the messages is lost")
{
    for (const std::size_t count : {std::size_t{48}, std::size_t{442}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            MembershipFleet fleet{seed};
            fleet.startAll(count);
            fleet.run(10s);
            RandomSource random{seed};
            fleet.lost = [&random](std::size_t, std::size_t) {
                return random() % 10 == 0;
            };
            fleet.processes[5].membership->beginLeave(fleet.now);
            fleet.run(2s);
            int uninformed = 0;
            for (std::size_t index = 0; index < count; ++index) {
                uninformed += fleet.stateAt(index, "i5") == MemberState::Live ? 1 : 0;
            }
            CHECK_MESSAGE(uninformed == 0, uninformed << " of " << count << " instances hold the departed one for live, seed " << seed);
        }
    }
}

TEST_CASE("a member with a tombstone is revived by its own refutation but not by a stale update")
{
    MemberTable table{Member{{InstanceId{"self"}, 1}, "a:1", DataCentreId{"dc"}, MemberState::Live}};
    const InstanceRef other{InstanceId{"other"}, 9};
    const MemberUpdate live{other, 2, MemberState::Live, "b:1", DataCentreId{"dc"}};
    TimePoint now;
    CHECK_MESSAGE(table.merge(now, live), "an update about a new member was ignored");
    CHECK_MESSAGE(table.suspect(now, other), "a live member could not be suspected");
    table.expire(now += suspicionTimeout(2));
    CHECK_MESSAGE(table.find(other.id)->update.state == MemberState::Failed, "a suspicion did not expire");
    table.expire(now += failedRetention);
    CHECK_MESSAGE(table.find(other.id) == nullptr, "a failed member that isn't listed was not removed");
    CHECK_MESSAGE(!table.merge(now, live), "a stale update revived a removed member");
    CHECK_MESSAGE(table.correctionFor(live), "a removed member that is running was not told");
    MemberUpdate refuted = live;
    ++refuted.refutation;
    CHECK_MESSAGE(table.merge(now, refuted), "a refutation by a removed member was ignored");

    table.applyList(now, InstanceList{{{InstanceId{"listed"}, "c:1", DataCentreId{"dc"}, false}}});
    table.applyList(now, InstanceList{});
    table.publishView();
    CHECK_MESSAGE(table.view()->listed == 1, "an empty list replaced the last good one");
}

TEST_CASE("membership traffic stays bounded in a fleet of 4,100 while a data centre fails")
{
    RandomSource random{1};
    const Member self{{InstanceId{"self"}, 1}, "a:1", DataCentreId{"dc"}, MemberState::Live};
    Membership membership{self, random};
    std::vector<MemberUpdate> updates;
    InstanceList list;
    for (int number = 0; number < 4'100; ++number) {
        const InstanceId id{"region-3-instance-" + std::to_string(number)};
        list.instances.push_back({id, "10.100.100.100:10000", DataCentreId{"region-3-dc-2"}, false});
        updates.push_back({{id, 1'800'000'000'000'000}, 0, MemberState::Live, "10.100.100.100:10000", DataCentreId{"region-3-dc-2"}});
    }
    TimePoint now;
    membership.onInstanceList(now, list);
    for (std::size_t first = 0; first < updates.size(); first += 40) {
        const std::vector<MemberUpdate> page(updates.begin() + static_cast<std::ptrdiff_t>(first),
                                             updates.begin() + static_cast<std::ptrdiff_t>(std::min(first + 40, updates.size())));
        membership.onPeerMessage(now, updates[0].ref, Ack{0, updates[0].ref, false, page});
    }
    std::uint64_t bytes = 0;
    const auto send = [&bytes](const MembershipMessages &messages) {
        for (const auto &outgoing : messages) {
            std::visit(
                [&bytes](const auto &message) {
                    bytes += nlohmann::json::to_cbor(nlohmann::json(message)).size();
                },
                outgoing.message);
        }
    };
    // Excludes the start, during which the instance synchronises.
    for (int tick = 0; tick < 700; ++tick, now += 100ms) {
        bytes = tick < 100 ? 0 : bytes;
        MembershipMessages out = membership.onTick(now);
        send(out);
        bool pinged = false;
        for (const auto &outgoing : out) {
            if (const auto *ping = std::get_if<Ping>(&outgoing.message)) {
                const InstanceRef from{outgoing.to.id, 1'800'000'000'000'000};
                MemberUpdate failed = updates[random() % 240];
                failed.state = MemberState::Failed;
                send(membership.onPeerMessage(now, from, Ack{ping->sequence, from, false, {failed}}));
                // Each instance is pinged once a second on average.
                if (!std::exchange(pinged, true)) {
                    send(membership.onPeerMessage(now, from, Ping{1, false, {}, {failed}}));
                }
            }
        }
    }
    CHECK_MESSAGE(bytes < 60 * 1024, "membership takes over half of 2 KB/s: " << bytes / 60 << " bytes a second");
}
