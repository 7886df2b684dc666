/* Scenarios in which instances, the network between them or the platform fail. */
#include "measure/scenarioscripts.h"

namespace jackdawdoor::measure::scripts {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int affected = 8;

void cutForAWhile(World &world, std::size_t from, std::size_t to, Duration start, Duration length)
{
    world.at(start, [&world, from, to] {
        world.cut(from, to, true);
    });
    world.at(start + length, [&world, from, to] {
        world.cut(from, to, false);
    });
}

} // namespace

void oneWayPartition(World &world)
{
    for (std::size_t from = 0; from < 3; ++from) {
        for (std::size_t to = 0; to < world.fleet().size(); ++to) {
            if (to != from) {
                cutForAWhile(world, from, to, seconds{5}, seconds{20});
            }
        }
    }
}

void resendStorm(World &world)
{
    // Submissions are slow for some seconds, so that callers resend all outstanding ones at short intervals.
    world.callers().options().resendDelay = milliseconds{100};
    world.callers().options().submissionShare = 0.6;
    fakes::UpstreamBehaviour behaviour;
    behaviour.hangShare = 0.5;
    for (const contract::UpstreamPolicy &upstream : world.submissionService()->upstreams) {
        world.at(seconds{5}, [&world, id = upstream.id, behaviour] {
            world.impair(id, behaviour);
        });
        world.at(seconds{12}, [&world, id = upstream.id] {
            world.heal(id);
        });
    }
}

void pause(World &world)
{
    for (int number = 0; number < affected; ++number) {
        world.at(seconds{3} + number * seconds{3}, [&world] {
            world.fleet().pause(world.drawInstance(), seconds{5});
        });
    }
}

void crash(World &world)
{
    for (int number = 0; number < affected; ++number) {
        world.at(seconds{3} + number * seconds{3}, [&world] {
            world.crash(world.drawInstance(), seconds{5});
        });
    }
}

void plannedStop(World &world)
{
    for (int number = 0; number < affected; ++number) {
        world.at(seconds{3} + number * seconds{3}, [&world] {
            world.stop(world.drawInstance(), seconds{15});
        });
    }
}

void rollingReplacement(World &world)
{
    for (std::size_t instance = 0; instance < world.fleet().size(); ++instance) {
        world.at(seconds{3} + static_cast<int>(instance) * milliseconds{1200}, [&world, instance] {
            world.stop(instance, seconds{8});
        });
    }
}

void racingPublishes(World &world)
{
    for (int number = 0; number < 8; ++number) {
        world.at(seconds{3} + number * seconds{6}, [&world] {
            world.publish(false, true);
            world.publish(true, false);
        });
    }
}

void logOutage(World &world)
{
    world.at(seconds{5}, [&world] {
        world.publish(false, false);
        if (world.fleet().product() != nullptr) {
            world.at(milliseconds{700}, [&world] {
                world.fleet().product()->log.down = true;
            });
        }
    });
    for (int number = 0; number < affected; ++number) {
        world.at(seconds{10} + number * seconds{2}, [&world] {
            world.crash(world.drawInstance(), seconds{1});
        });
    }
}

void fleetRestart(World &world)
{
    world.at(seconds{5}, [&world] {
        if (world.fleet().product() != nullptr) {
            world.fleet().product()->log.down = true;
        }
        for (std::size_t instance = 0; instance < world.fleet().size(); ++instance) {
            world.crash(instance, seconds{1});
        }
    });
    world.at(seconds{20}, [&world] {
        if (world.fleet().product() != nullptr) {
            world.fleet().product()->log.down = false;
        }
    });
}

void regionCut(World &world)
{
    const std::size_t size = world.fleet().size();
    for (std::size_t from = 0; from < size; ++from) {
        for (std::size_t to = 0; to < size; ++to) {
            if ((from < size / 3) != (to < size / 3)) {
                cutForAWhile(world, from, to, seconds{5}, seconds{25});
            }
        }
    }
}

} // namespace jackdawdoor::measure::scripts
