/* Scenarios in which upstreams or the paths to them fail. */
#include "measure/scenarioscripts.h"

namespace jackdawdoor::measure::scripts {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Single-upstream faults run in sequence; each lasts faultLength and the next one starts after faultPeriod. */
constexpr Duration faultLength = seconds{8};
constexpr Duration faultPeriod = seconds{15};
constexpr int faults = 4;

void impairInSequence(World &world, const fakes::UpstreamBehaviour &behaviour)
{
    for (int number = 0; number < faults; ++number) {
        const UpstreamId upstream = world.drawUpstream(world.busiestService());
        world.at(seconds{3} + number * faultPeriod, [&world, upstream, behaviour] {
            world.impair(upstream, behaviour);
            world.watch(upstream);
        });
        world.at(seconds{3} + number * faultPeriod + faultLength, [&world, upstream] {
            world.endWatch(upstream);
            world.heal(upstream);
        });
    }
}

void impairFor(World &world, Duration start, Duration length, const UpstreamId &upstream, const fakes::UpstreamBehaviour &behaviour)
{
    world.at(start, [&world, upstream, behaviour] {
        world.impair(upstream, behaviour);
    });
    world.at(start + length, [&world, upstream] {
        world.heal(upstream);
    });
}

} // namespace

void slow(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.slowFactor = 5;
    impairInSequence(world, behaviour);
}

void erroring(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.errorShare = 1;
    impairInSequence(world, behaviour);
}

void halfErroring(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.errorShare = 0.5;
    impairInSequence(world, behaviour);
}

void wrongAnswer(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    const contract::WrongAnswerRule &rule = world.busiestService().operations.front().wrongAnswer;
    // Without a freshness rule in the contract, stale answers cannot be detected; truncated bodies are used instead.
    (rule.freshnessHeader.empty() ? behaviour.shortShare : behaviour.wrongShare) = 1;
    impairInSequence(world, behaviour);
}

void failFast(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.errorShare = 1;
    behaviour.errorLatencyFactor = 0.02;
    impairInSequence(world, behaviour);
}

void flapping(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.errorShare = 1;
    const UpstreamId upstream = world.drawUpstream(world.busiestService());
    for (int number = 0; number < 9; ++number) {
        impairFor(world, seconds{3} + number * seconds{6}, seconds{3}, upstream, behaviour);
    }
}

void coldStart(World &world)
{
    fakes::UpstreamBehaviour cold;
    cold.slowFactor = 4;
    for (int number = 0; number < faults; ++number) {
        const UpstreamId upstream = world.drawUpstream(world.busiestService());
        const Duration start = seconds{3} + number * faultPeriod;
        world.at(start, [&world, upstream] {
            world.fleet().upstreams().at(upstream).downUntil = world.fleet().events().now() + seconds{2};
        });
        impairFor(world, start, seconds{6}, upstream, cold);
    }
}

void overload(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.slowFactor = 10;
    for (const contract::UpstreamPolicy &upstream : world.busiestService().upstreams) {
        // Not marked as impaired, so that ejecting them counts as a false ejection.
        world.at(seconds{5}, [&world, id = upstream.id, behaviour] {
            world.fleet().upstreams().at(id).behaviour = behaviour;
        });
        world.at(seconds{25}, [&world, id = upstream.id] {
            world.heal(id);
        });
    }
}

void fullOutage(World &world)
{
    fakes::UpstreamBehaviour behaviour;
    behaviour.errorShare = 1;
    for (const contract::ServicePolicy &service : world.policy().services) {
        for (const contract::UpstreamPolicy &upstream : service.upstreams) {
            world.impair(upstream.id, behaviour);
        }
    }
}

void upstreamCut(World &world)
{
    for (int number = 0; number < 6; ++number) {
        const std::size_t instance = world.drawInstance();
        const UpstreamId upstream = world.drawUpstream(world.busiestService());
        world.at(seconds{3}, [&world, instance, upstream] {
            world.cutUpstream(instance, upstream, true);
        });
        world.at(seconds{30}, [&world, instance, upstream] {
            world.cutUpstream(instance, upstream, false);
        });
    }
}

void silentConnections(World &world)
{
    for (int number = 0; number < 3; ++number) {
        const UpstreamId upstream = world.drawUpstream(world.busiestService());
        world.at(seconds{3} + number * seconds{10}, [&world, upstream] {
            for (std::size_t instance = 0; instance < world.fleet().size(); ++instance) {
                world.silence(instance, upstream, 2);
            }
        });
    }
}

void requestOfDeath(World &world)
{
    const contract::ServicePolicy &service = *world.submissionService();
    for (int number = 0; number < 3; ++number) {
        const std::uint64_t fingerprint = world.random()();
        world.fleet().crashers().insert(fingerprint);
        // A caller that ignores the answers and submits the same request under new keys.
        for (int again = 0; again < 8; ++again) {
            world.at(seconds{3} + number * seconds{8} + again * milliseconds{900}, [&world, &service, fingerprint] {
                for (const contract::OperationPolicy &operation : service.operations) {
                    if (!operation.idempotent) {
                        world.callers().submit(service, operation, fingerprint);
                        return;
                    }
                }
            });
        }
    }
    for (const contract::UpstreamPolicy &upstream : service.upstreams) {
        world.impair(upstream.id, {});
    }
}

void monthEnd(World &world)
{
    world.at(seconds{5}, [&world] {
        world.callers().options().load = 1;
    });
    world.at(seconds{25}, [&world] {
        world.callers().options().load = 0.4;
    });
}

} // namespace jackdawdoor::measure::scripts
