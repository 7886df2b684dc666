#include "fakes/virtualfleet.h"

#include "base/stablehash.h"
#include "core/peermessage.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawdoor::fakes {

namespace {

constexpr Duration listPeriod = std::chrono::seconds{1};

/** Authenticator for tests: any function shared by all instances is sufficient. */
std::string testAuthenticator(std::string_view bytes)
{
    return std::to_string(stableHash(bytes, 7));
}

} // namespace

VirtualFleet::VirtualFleet(std::size_t instances, std::size_t dataCentres, std::uint64_t seed)
    : random(seed)
    , m_nodes(instances)
{
    for (std::size_t index = 0; index < instances; ++index) {
        Node &node = m_nodes[index];
        node.member.ref.id = InstanceId{"entry-" + std::to_string(index)};
        node.member.address = "127.0.0.1:" + std::to_string(20000 + index);
        node.member.callerAddress = "127.0.0.1:" + std::to_string(30000 + index);
        node.member.dataCentre = DataCentreId{"dc-" + std::to_string(index % dataCentres)};
        node.member.state = membership::MemberState::Live;
        m_byId[node.member.ref.id] = index;
    }
    for (std::size_t index = 0; index < instances; ++index) {
        start(index);
    }
}

void VirtualFleet::start(std::size_t index)
{
    Node &node = m_nodes[index];
    node.member.ref.incarnation = ++m_nextIncarnation;
    node.up = true;
    node.paused = false;
    node.stopped = false;
    ++node.generation;
    node.core = std::make_unique<core::Instance>(
        core::InstanceOptionsBuilder().self(node.member).startedAt(events.now()).seed(random()).authenticate(testAuthenticator).build());
    scheduleTick(index, node.generation);
    scheduleList(index, node.generation);
}

void VirtualFleet::scheduleTick(std::size_t index, std::uint64_t generation)
{
    input(index, generation, [this](core::Instance &core) {
        return core.onTick(events.now());
    });
    if (m_nodes[index].generation == generation && m_nodes[index].up) {
        events.after(core::tickPeriod, [this, index, generation] {
            scheduleTick(index, generation);
        });
    }
}

void VirtualFleet::scheduleList(std::size_t index, std::uint64_t generation)
{
    if (m_nodes[index].generation != generation || !m_nodes[index].up) {
        return;
    }
    if (listIsUp) {
        input(index, generation, [this](core::Instance &core) {
            return core.onInstanceList(events.now(), platformList());
        });
    }
    events.after(listPeriod, [this, index, generation] {
        scheduleList(index, generation);
    });
}

core::PlatformList VirtualFleet::platformList() const
{
    core::PlatformList list;
    list.leavingUpstreams = leavingUpstreams;
    for (const Node &node : m_nodes) {
        if (!node.stopped) {
            list.fleet.instances.push_back(
                membership::ListedInstance{node.member.ref.id, node.member.address, node.member.dataCentre, false});
        }
    }
    return list;
}

void VirtualFleet::input(std::size_t index, std::uint64_t generation, Input run)
{
    Node &node = m_nodes[index];
    if (!node.up || node.generation != generation) {
        return;
    }
    if (node.paused) {
        node.deferredInputs.emplace_back([this, index, generation, run = std::move(run)] {
            input(index, generation, run);
        });
        return;
    }
    carryOut(index, run(*node.core));
}

void VirtualFleet::carryOut(std::size_t index, const core::Effects &effects)
{
    for (const core::Effect &effect : effects) {
        std::visit(
            [this, index](const auto &one) {
                carryOut(index, one);
            },
            effect);
    }
}

void VirtualFleet::run(Duration duration)
{
    events.runUntil(events.now() + duration);
}

void VirtualFleet::publish(const CustomerId &customer,
                           configuration::Version base,
                           std::optional<std::string> body,
                           const std::string &publishId)
{
    log.append(events.now(), configuration::encodeRecord(configuration::Publish{customer, publishId, base, std::move(body)}));
}

void VirtualFleet::addUpstreams(const contract::CustomerPolicy &policy)
{
    for (const contract::ServicePolicy &service : policy.services) {
        for (const contract::UpstreamPolicy &upstream : service.upstreams) {
            FakeUpstream &fake = upstreams[upstream.id];
            fake.slots = upstream.slots;
            fake.runs = &runs;
            fake.crashers = &crashers;
        }
    }
}

core::RequestId VirtualFleet::request(std::size_t index, core::CallerRequest request, AnswerHandler handler)
{
    Node &node = m_nodes[index];
    if (!node.up) {
        handler({});
        return 0;
    }
    request.id = m_nextRequest++;
    Pending pending;
    pending.handler = std::move(handler);
    pending.sent = events.now();
    pending.key = request.key;
    pending.fingerprint = request.fingerprint;
    pending.request = request;
    node.pending.emplace(request.id, std::move(pending));
    input(index, node.generation, [this, request](core::Instance &core) {
        return core.onRequest(events.now(), request);
    });
    return request.id;
}

void VirtualFleet::abandon(std::size_t index, core::RequestId request)
{
    Node &node = m_nodes[index];
    const auto pending = node.pending.find(request);
    if (pending == node.pending.end()) {
        return;
    }
    // Keeps the request: the core may still dispatch it, and its run must be counted under its key.
    pending->second.handler = [](const CallerAnswer &) {};
    input(index, node.generation, [this, request](core::Instance &core) {
        return core.onCallerGone(events.now(), request);
    });
}

void VirtualFleet::silenceConnections(std::size_t instance, const UpstreamId &upstream, int connections)
{
    m_deadConnections[{instance, upstream}] = connections;
}

void VirtualFleet::queryOutcome(std::size_t index, const std::string &key, AnswerHandler handler)
{
    Node &node = m_nodes[index];
    if (!node.up) {
        handler({});
        return;
    }
    const core::RequestId id = m_nextRequest++;
    Pending pending;
    pending.handler = std::move(handler);
    pending.sent = events.now();
    node.pending.emplace(id, std::move(pending));
    input(index, node.generation, [this, id, key](core::Instance &core) {
        return core.onOutcomeQuery(events.now(), id, key);
    });
}

core::PlacementReply VirtualFleet::place(std::size_t index, const core::PlacementQuery &query)
{
    Node &node = m_nodes[index];
    if (!node.up || node.paused) {
        core::PlacementReply reply;
        reply.refusal = core::Refusal{};
        return reply;
    }
    core::PlacementReply reply = node.core->onPlacementQuery(events.now(), query);
    carryOut(index, reply.decision);
    return reply;
}

std::size_t VirtualFleet::instanceAt(const std::string &address) const
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].member.callerAddress == address) {
            return index;
        }
    }
    return m_nodes.size();
}

void VirtualFleet::crash(std::size_t index)
{
    Node &node = m_nodes[index];
    if (!node.up) {
        return;
    }
    node.up = false;
    ++node.generation;
    node.deferredInputs.clear();
    // Upstreams finish the attempts they received; their answers are dropped.
    for (const auto &[id, attempt] : node.attempts) {
        if (attempt.reachedUpstream) {
            orphan(attempt.upstream, attempt.answer);
        }
    }
    node.attempts.clear();
    std::map<core::RequestId, Pending> pending = std::exchange(node.pending, {});
    for (auto &[id, lost] : pending) {
        lost.handler({});
    }
}

void VirtualFleet::restart(std::size_t index)
{
    if (!m_nodes[index].up) {
        start(index);
    }
}

void VirtualFleet::pause(std::size_t index, Duration duration)
{
    Node &node = m_nodes[index];
    if (!node.up || node.paused) {
        return;
    }
    node.paused = true;
    events.after(duration, [this, index, generation = node.generation] {
        Node &woken = m_nodes[index];
        if (woken.generation != generation) {
            return;
        }
        woken.paused = false;
        for (EventQueue::Action &action : std::exchange(woken.deferredInputs, {})) {
            action();
        }
    });
}

void VirtualFleet::stop(std::size_t index)
{
    input(index, m_nodes[index].generation, [this](core::Instance &core) {
        return core.beginStop(events.now());
    });
}

void VirtualFleet::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void VirtualFleet::cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut)
{
    if (isCut) {
        m_upstreamCuts.insert({instance, upstream});
    } else {
        m_upstreamCuts.erase({instance, upstream});
    }
}

bool VirtualFleet::isUp(std::size_t index) const
{
    return m_nodes[index].up;
}

bool VirtualFleet::stopFinished(std::size_t index) const
{
    return m_nodes[index].stopped;
}

std::size_t VirtualFleet::size() const
{
    return m_nodes.size();
}

Incarnation VirtualFleet::incarnation(std::size_t index) const
{
    return m_nodes[index].member.ref.incarnation;
}

core::Instance &VirtualFleet::core(std::size_t index)
{
    return *m_nodes[index].core;
}

TimePoint VirtualFleet::now() const
{
    return events.now();
}

Duration VirtualFleet::delay()
{
    std::uniform_int_distribution<Duration::rep> range{network.minimumDelay.count(), network.maximumDelay.count()};
    return Duration{range(random)};
}

bool VirtualFleet::reaches(std::size_t from, std::size_t to) const
{
    return m_cuts.count({from, to}) == 0;
}

std::size_t VirtualFleet::indexOf(const InstanceId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? m_nodes.size() : found->second;
}

} // namespace jackdawdoor::fakes
