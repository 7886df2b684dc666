#include "measure/scenarios.h"

#include <algorithm>

namespace jackdawdoor::measure {

namespace {

constexpr Duration chaosTime = std::chrono::seconds{24};
constexpr double chaosLoad = 0.06;
constexpr int mostFaults = 9;

double between(RandomSource &random, double low, double high)
{
    return low + uniform(random) * (high - low);
}

fakes::UpstreamBehaviour drawBehaviour(RandomSource &random)
{
    fakes::UpstreamBehaviour behaviour;
    switch (random() % 7) {
    case 0:
        behaviour.slowFactor = between(random, 3, 200);
        break;
    case 1:
        behaviour.errorShare = between(random, 0.2, 1);
        break;
    case 2:
        behaviour.wrongShare = between(random, 0.2, 1);
        break;
    case 3:
        behaviour.errorShare = 1;
        behaviour.errorLatencyFactor = 0.05;
        break;
    case 4:
        behaviour.hangShare = between(random, 0.2, 1);
        break;
    case 5:
        behaviour.shortShare = between(random, 0.2, 1);
        break;
    default:
        behaviour.refusesConnections = true;
    }
    return behaviour;
}

void upstreamFault(World &world, Duration length)
{
    RandomSource &random = world.random();
    const contract::ServicePolicy &service = world.drawService();
    const bool whole = random() % 6 == 0;
    const bool sheds = random() % 3 == 0;
    const std::size_t count = whole ? service.upstreams.size() : 1 + random() % 3;
    fakes::UpstreamBehaviour behaviour = drawBehaviour(random);
    behaviour.shedsWhenFull = sheds;
    for (std::size_t number = 0; number < count; ++number) {
        const UpstreamId upstream = whole ? service.upstreams[number].id : world.drawUpstream(service);
        world.impair(upstream, behaviour);
        world.at(length, [&world, upstream] {
            world.heal(upstream);
        });
    }
}

void partition(World &world, Duration length)
{
    const bool oneWay = world.random()() % 2 == 0;
    const std::uint64_t side = world.random()();
    const std::size_t size = world.fleet().size();
    for (std::size_t from = 0; from < size; ++from) {
        for (std::size_t to = 0; to < size; ++to) {
            const bool fromFirst = (side >> from & 1) != 0;
            const bool crosses = fromFirst != ((side >> to & 1) != 0);
            if (from == to || !crosses || (oneWay && !fromFirst)) {
                continue;
            }
            world.cut(from, to, true);
            world.at(length, [&world, from, to] {
                world.cut(from, to, false);
            });
        }
    }
}

void networkLoss(World &world, Duration length)
{
    fakes::VirtualFleet *product = world.fleet().product();
    if (product == nullptr) {
        return;
    }
    product->network.lossShare = between(world.random(), 0.05, 0.6);
    product->network.maximumDelay = std::chrono::milliseconds{world.random()() % 900 + 1};
    world.at(length, [product] {
        product->network = {};
    });
}

void platformOutage(World &world, Duration length)
{
    fakes::VirtualFleet *product = world.fleet().product();
    if (product == nullptr) {
        return;
    }
    const bool listToo = world.random()() % 2 == 0;
    product->log.down = true;
    product->listIsUp = !listToo;
    world.at(length, [product] {
        product->log.down = false;
        product->listIsUp = true;
    });
}

void upstreamCut(World &world, Duration length)
{
    const std::size_t instance = world.drawInstance();
    const contract::ServicePolicy &service = world.drawService();
    const bool all = world.random()() % 3 == 0;
    for (const contract::UpstreamPolicy &upstream : service.upstreams) {
        if (all || world.random()() % 3 == 0) {
            world.cutUpstream(instance, upstream.id, true);
            world.at(length, [&world, instance, id = upstream.id] {
                world.cutUpstream(instance, id, false);
            });
        }
    }
}

void requestOfDeath(World &world)
{
    const contract::ServicePolicy &service = world.drawService();
    const std::uint64_t fingerprint = world.random()();
    world.fleet().crashers().insert(fingerprint);
    for (const contract::OperationPolicy &operation : service.operations) {
        if (!operation.idempotent) {
            world.callers().submit(service, operation, fingerprint);
        }
    }
}

void fault(World &world, Duration length)
{
    const Duration pause{static_cast<Duration::rep>(uniform(world.random()) * 1e7)};
    switch (world.random()() % 14) {
    case 0:
    case 1:
    case 2:
        upstreamFault(world, length);
        break;
    case 3:
    case 4:
        partition(world, length);
        break;
    case 5:
        networkLoss(world, length);
        break;
    case 6:
        platformOutage(world, length);
        break;
    case 7:
        upstreamCut(world, length);
        break;
    case 8:
    case 9:
        world.crash(world.drawInstance(), length);
        break;
    case 10:
        world.stop(world.drawInstance(), length);
        break;
    case 11:
        world.fleet().pause(world.drawInstance(), pause);
        break;
    case 12:
        requestOfDeath(world);
        break;
    default:
        for (int publishes = 1 + static_cast<int>(world.random()() % 3); publishes > 0; --publishes) {
            world.publish(world.random()() % 2 == 0, world.random()() % 2 == 0);
        }
    }
}

} // namespace

void scheduleChaos(World &world, Duration duration)
{
    const int faults = 2 + static_cast<int>(world.random()() % (mostFaults - 1));
    for (int number = 0; number < faults; ++number) {
        const double start = uniform(world.random()) * toSeconds(duration) * 0.8;
        const Duration length = fromSeconds(between(world.random(), 0.3, 10));
        world.at(fromSeconds(start), [&world, length] {
            fault(world, length);
        });
    }
}

Measurement runChaos(RunOptions options)
{
    options.instances = 4 + options.seed % 3;
    options.deployment = options.seed % 2 == 0 ? "quetzal" : "ayudas";
    options.callers.load = chaosLoad;
    options.callers.submissionShare = 0.7;
    World world(options, "chaos");
    scheduleChaos(world, chaosTime);
    world.run(chaosTime);
    world.rest(std::chrono::seconds{10});
    return world.finish();
}

} // namespace jackdawdoor::measure
