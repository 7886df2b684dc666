#include "measure/world.h"

#include "core/contractcompiler.h"
#include "measure/productfleet.h"
#include "naive/naivefleet.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace jackdawdoor::measure {

namespace {

constexpr Duration samplePeriod = std::chrono::milliseconds{100};
/** An upstream without ordinary requests for this long counts as detected. */
constexpr Duration detectionIdleTime = std::chrono::seconds{1};
/** Ejecting an upstream this soon after its fault is not a false ejection, because late answers still arrive. */
constexpr Duration impairmentGrace = std::chrono::seconds{5};
constexpr TimePoint never = TimePoint::max();

std::string readContract(const std::string &deployment)
{
    std::ifstream file(std::string(JACKDAWDOOR_SOURCE_DIR) + "/examples/" + deployment + ".contract.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

World::World(const RunOptions &options, const std::string &scenario)
    : m_fleet(options.naive ? naive::makeNaiveFleet(options.instances, options.seed) : makeProductFleet(options.instances, options.seed))
    , m_body(readContract(options.deployment))
    , m_policy(core::compileContract(m_body).value())
    , m_random(options.seed ^ 0x5eed)
{
    m_measurement.name = scenario;
    m_measurement.policy = options.naive ? "naive" : "product";
    m_measurement.deployment = options.deployment;
    m_measurement.seed = options.seed;
    m_measurement.slots = m_policy.services.front().upstreams.front().slots;
    m_fleet->onRoute = [this](const RouteEvent &event) {
        onRoute(event);
    };
    m_fleet->onEjection = [this](const EjectionEvent &event) {
        onEjection(event);
    };
    m_callers = std::make_unique<Callers>(*m_fleet, m_policy, options.callers, m_measurement);
    m_fleet->begin(m_policy, m_body);
    if (m_fleet->product() != nullptr) {
        m_accepted.push_back({1, m_fleet->events().now(), {}});
        for (std::size_t index = 0; index < m_fleet->size(); ++index) {
            m_accepted.front().inForce.insert(index);
        }
    }
    m_began = m_fleet->events().now();
    m_controlBytesBefore = m_fleet->controlBytes();
    sample();
}

void World::at(Duration delay, std::function<void()> action)
{
    m_fleet->events().after(delay, std::move(action));
}

void World::run(Duration duration)
{
    m_callers->start(m_fleet->events().now() + duration);
    rest(duration);
}

void World::rest(Duration duration)
{
    m_fleet->events().runUntil(m_fleet->events().now() + duration);
}

const Measurement &World::finish()
{
    const double seconds = toSeconds(m_fleet->events().now() - m_began);
    m_measurement.controlBytesPerSecond =
        static_cast<double>(m_fleet->controlBytes() - m_controlBytesBefore) / seconds / static_cast<double>(m_fleet->size());
    if (m_fleet->product() != nullptr) {
        for (const std::uint64_t bytes : m_fleet->product()->controlBytesByKind) {
            m_measurement.controlBytesByKind.push_back(static_cast<double>(bytes)
                                                       / toSeconds(m_fleet->events().now().time_since_epoch() - std::chrono::hours{1})
                                                       / static_cast<double>(m_fleet->size()));
        }
    }
    for (auto &[upstream, watch] : m_watches) {
        record(watch);
    }
    m_watches.clear();
    if (m_fleet->product() != nullptr) {
        m_fleet->product()->log.down = false;
        m_fleet->product()->listIsUp = true;
        m_fleet->product()->network = {};
    }
    for (const auto &[from, to] : std::exchange(m_cuts, {})) {
        m_fleet->cut(from, to, false);
    }
    for (auto &[id, upstream] : m_fleet->upstreams()) {
        heal(id);
    }
    rest(std::chrono::seconds{12});
    sampleVersions();
    if (!m_accepted.empty()) {
        for (std::size_t index = 0; index < m_fleet->size(); ++index) {
            m_measurement.notInForce += m_fleet->isUp(index) && !m_accepted.back().inForce.contains(index) ? 1 : 0;
        }
    }
    m_sampling = false;
    m_callers->settle();
    m_callers->judge();
    for (const auto &[id, upstream] : m_fleet->upstreams()) {
        m_measurement.peakRunning = std::max(m_measurement.peakRunning, upstream.peakRunning);
        m_measurement.crashes += upstream.crashes;
    }
    m_measurement.requestsOfDeath = m_fleet->crashers().size();
    m_measurement.originals = m_routed.size();
    return m_measurement;
}

void World::impair(const UpstreamId &upstream, const fakes::UpstreamBehaviour &behaviour)
{
    m_fleet->upstreams().at(upstream).behaviour = behaviour;
    m_impairedUntil[upstream] = never;
}

void World::heal(const UpstreamId &upstream)
{
    m_fleet->upstreams().at(upstream).behaviour = {};
    if (m_impairedUntil.contains(upstream)) {
        m_impairedUntil[upstream] = m_fleet->events().now() + impairmentGrace;
    }
}

void World::watch(const UpstreamId &upstream)
{
    const TimePoint now = m_fleet->events().now();
    m_watches[upstream] = {now, now, false};
}

void World::endWatch(const UpstreamId &upstream)
{
    record(m_watches.at(upstream));
    m_watches.erase(upstream);
}

void World::record(const Watch &watch)
{
    if (watch.detected || m_fleet->events().now() - watch.last >= detectionIdleTime) {
        m_measurement.detectionSeconds.push_back(toSeconds(watch.last - watch.start));
    } else {
        ++m_measurement.undetected;
    }
}

void World::onRoute(const RouteEvent &event)
{
    ++m_measurement.attempts;
    m_routed.insert(event.request);
    const auto found = m_watches.find(event.upstream);
    if (found == m_watches.end() || event.trial || found->second.detected) {
        return;
    }
    const TimePoint now = m_fleet->events().now();
    found->second.detected = now - found->second.last >= detectionIdleTime;
    if (!found->second.detected) {
        found->second.last = now;
    }
}

void World::onEjection(const EjectionEvent &event)
{
    const TimePoint now = m_fleet->events().now();
    const auto impaired = m_impairedUntil.find(event.upstream);
    const auto cut = m_cutUntil.find({event.instance, event.upstream});
    const bool isRight = (impaired != m_impairedUntil.end() && now <= impaired->second) || (cut != m_cutUntil.end() && now <= cut->second);
    if (!isRight) {
        ++m_measurement.falseEjections;
        m_measurement.addMistake("entry-" + std::to_string(event.instance) + " " + event.upstream.value + " at "
                                 + std::to_string(toSeconds(now - m_began)) + ": " + event.reason);
    }
}

void World::cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut)
{
    m_fleet->cutUpstream(instance, upstream, isCut);
    m_cutUntil[{instance, upstream}] = isCut ? never : m_fleet->events().now() + impairmentGrace;
}

void World::silence(std::size_t instance, const UpstreamId &upstream, int connections)
{
    m_fleet->silenceConnections(instance, upstream, connections);
}

void World::cut(std::size_t from, std::size_t to, bool isCut)
{
    m_fleet->cut(from, to, isCut);
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void World::crash(std::size_t instance, Duration downTime)
{
    m_fleet->crash(instance);
    at(downTime, [this, instance] {
        m_fleet->restart(instance);
    });
}

void World::stop(std::size_t instance, Duration downTime)
{
    m_fleet->stop(instance);
    at(downTime, [this, instance] {
        m_fleet->crash(instance);
        m_fleet->restart(instance);
    });
}

std::size_t World::drawInstance()
{
    return static_cast<std::size_t>(uniform(m_random) * static_cast<double>(m_fleet->size()));
}

UpstreamId World::drawUpstream(const contract::ServicePolicy &service)
{
    return service.upstreams[static_cast<std::size_t>(uniform(m_random) * static_cast<double>(service.upstreams.size()))].id;
}

const contract::ServicePolicy &World::drawService()
{
    return m_policy.services[static_cast<std::size_t>(uniform(m_random) * static_cast<double>(m_policy.services.size()))];
}

const contract::ServicePolicy &World::busiestService() const
{
    return *std::max_element(m_policy.services.begin(), m_policy.services.end(), [](const auto &left, const auto &right) {
        return left.peakRequestsPerSecond < right.peakRequestsPerSecond;
    });
}

const contract::ServicePolicy *World::submissionService() const
{
    const contract::ServicePolicy *best = nullptr;
    for (const contract::ServicePolicy &service : m_policy.services) {
        const bool submits = std::any_of(service.operations.begin(), service.operations.end(), [](const auto &operation) {
            return !operation.idempotent;
        });
        if (submits && (best == nullptr || service.peakRequestsPerSecond > best->peakRequestsPerSecond)) {
            best = &service;
        }
    }
    return best;
}

EntryFleet &World::fleet()
{
    return *m_fleet;
}

Callers &World::callers()
{
    return *m_callers;
}

Measurement &World::measurement()
{
    return m_measurement;
}

const contract::CustomerPolicy &World::policy() const
{
    return m_policy;
}

RandomSource &World::random()
{
    return m_random;
}

void World::sample()
{
    if (!m_sampling) {
        return;
    }
    for (std::size_t index = 0; index < m_fleet->size(); ++index) {
        for (const CapacityView &view : m_fleet->capacity(index)) {
            m_measurement.floorMargin = std::min(m_measurement.floorMargin, view.available - view.floor);
            if (view.ejected > 0 && view.available < view.floor) {
                ++m_measurement.floorViolations;
                m_measurement.addTrace("floor: entry-" + std::to_string(index) + " " + view.service.value + " available "
                                       + std::to_string(view.available) + ", ejected " + std::to_string(view.ejected) + ", floor "
                                       + std::to_string(view.floor) + " at "
                                       + std::to_string(toSeconds(m_fleet->events().now() - m_began)));
            }
        }
    }
    sampleVersions();
    at(samplePeriod, [this] {
        sample();
    });
}

} // namespace jackdawdoor::measure
