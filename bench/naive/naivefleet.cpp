#include "naive/naivefleet.h"

#include "base/stablehash.h"
#include "core/matchoperation.h"
#include "naive/naiveinstance.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::naive {

namespace {

using fakes::CallerAnswer;
using Kind = CallerAnswer::Kind;

constexpr int ejectingErrors = 5;
constexpr Duration ejectionTime = std::chrono::seconds{30};
constexpr int maximumAttempts = 4; ///< the first attempt and three retries
constexpr Duration upstreamDelay = std::chrono::microseconds{300};
constexpr int firstErrorStatus = 500;
constexpr std::size_t namedAddresses = 3;
constexpr Duration hold = std::chrono::seconds{30};

class NaiveFleet : public measure::EntryFleet
{
public:
    NaiveFleet(std::size_t instances, std::uint64_t seed)
        : m_random(seed)
        , m_instances(instances)
    {
    }

    fakes::EventQueue &events() override
    {
        return m_events;
    }

    RandomSource &random() override
    {
        return m_random;
    }

    std::map<UpstreamId, fakes::FakeUpstream> &upstreams() override
    {
        return m_upstreams;
    }

    std::map<std::string, int> &runs() override
    {
        return m_runs;
    }

    std::set<std::uint64_t> &crashers() override
    {
        return m_crashers;
    }

    std::size_t size() const override
    {
        return m_instances.size();
    }

    void begin(const contract::CustomerPolicy &policy, const std::string &) override
    {
        m_policy = policy;
        for (const contract::ServicePolicy &service : m_policy.services) {
            for (const contract::UpstreamPolicy &upstream : service.upstreams) {
                fakes::FakeUpstream &fake = m_upstreams[upstream.id];
                fake.slots = upstream.slots;
                fake.runs = &m_runs;
                fake.crashers = &m_crashers;
            }
        }
        m_events.runUntil(m_events.now() + std::chrono::seconds{1});
    }

    /** Any running instance is suitable; callers do not see later changes during the hold time. */
    core::PlacementReply place(std::size_t, const core::PlacementQuery &query) override
    {
        core::PlacementReply reply;
        const std::size_t first = stableHash(query.caller, 3) % m_instances.size();
        for (std::size_t next = 0; next < m_instances.size() && reply.addresses.size() < namedAddresses; ++next) {
            const std::size_t index = (first + next) % m_instances.size();
            if (m_instances[index].up) {
                reply.addresses.push_back(std::to_string(index));
            }
        }
        reply.hold = hold;
        reply.ticket = "naive-" + std::to_string(m_nextTicket++);
        return reply;
    }

    std::size_t instanceAt(const std::string &address) const override
    {
        return static_cast<std::size_t>(std::stoul(address));
    }

    core::RequestId request(std::size_t index, const core::CallerRequest &request, AnswerHandler handler) override;
    void queryOutcome(std::size_t index, const std::string &key, AnswerHandler handler) override;

    void abandon(std::size_t index, core::RequestId request) override
    {
        const auto found = m_instances[index].requests.find(request);
        if (found != m_instances[index].requests.end()) {
            found->second.handler = [](const CallerAnswer &) {};
        }
    }

    bool isUp(std::size_t index) const override
    {
        return m_instances[index].up;
    }

    void crash(std::size_t index) override
    {
        NaiveInstance &instance = m_instances[index];
        const auto lost = std::exchange(instance.requests, {});
        instance = NaiveInstance{{}, {}, {}, instance.generation + 1, {}, false};
        for (const auto &[id, request] : lost) {
            request.handler({});
        }
    }

    void restart(std::size_t index) override
    {
        m_instances[index].up = true;
    }

    void pause(std::size_t index, Duration duration) override
    {
        m_instances[index].pausedUntil = m_events.now() + duration;
    }

    void stop(std::size_t index) override
    {
        crash(index);
    }

    void cut(std::size_t, std::size_t, bool) override
    {
    } // naive instances exchange no messages

    void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut) override
    {
        if (isCut) {
            m_cuts.insert({instance, upstream});
        } else {
            m_cuts.erase({instance, upstream});
        }
    }

    void silenceConnections(std::size_t instance, const UpstreamId &upstream, int connections) override
    {
        m_dead[{instance, upstream}] = connections;
    }

    std::vector<measure::CapacityView> capacity(std::size_t index) override
    {
        std::vector<measure::CapacityView> views;
        for (const contract::ServicePolicy &service : m_policy.services) {
            measure::CapacityView view{service.id, 0, 0, service.health.healthyFloor};
            for (const contract::UpstreamPolicy &upstream : service.upstreams) {
                const bool ejected = isEjected(m_instances[index], upstream.id);
                ++(ejected ? view.ejected : view.available);
            }
            views.push_back(view);
        }
        return views;
    }

    std::uint64_t controlBytes() const override
    {
        return 0;
    }

    fakes::VirtualFleet *product() override
    {
        return nullptr;
    }

private:
    /** Origin and destination of an attempt. */
    struct Sent {
        std::size_t index = 0;
        std::uint64_t generation = 0;
        core::RequestId request = 0;
        UpstreamId upstream;
    };

    bool isEjected(NaiveInstance &instance, const UpstreamId &upstream) const
    {
        return instance.upstreams[upstream].ejectedUntil > m_events.now();
    }

    void attempt(std::size_t index, core::RequestId id);
    std::optional<UpstreamId> choose(NaiveInstance &instance, const contract::ServicePolicy &service);
    void send(const Sent &sent, const contract::OperationPolicy &operation);
    void end(const Sent &sent, const CallerAnswer &answer, bool failed, bool ran);
    void answer(std::size_t index, core::RequestId id, CallerAnswer result);
    bool isCut(const Sent &sent);

    fakes::EventQueue m_events;
    RandomSource m_random;
    std::vector<NaiveInstance> m_instances;
    std::map<UpstreamId, fakes::FakeUpstream> m_upstreams;
    std::map<std::string, int> m_runs;
    std::set<std::uint64_t> m_crashers;
    std::set<std::pair<std::size_t, UpstreamId>> m_cuts;
    std::map<std::pair<std::size_t, UpstreamId>, int> m_dead;
    contract::CustomerPolicy m_policy;
    core::RequestId m_nextRequest = 1;
    std::uint64_t m_nextTicket = 1;
};

core::RequestId NaiveFleet::request(std::size_t index, const core::CallerRequest &request, AnswerHandler handler)
{
    NaiveInstance &instance = m_instances[index];
    if (!instance.up) {
        handler({});
        return 0;
    }
    const core::RequestId id = m_nextRequest++;
    NaiveRequest &active = instance.requests[id];
    active.request = request;
    active.service = m_policy.findService(request.service);
    active.operation = core::matchOperation(*active.service, request.method, request.path);
    active.handler = std::move(handler);
    active.arrived = m_events.now();
    const auto known = instance.answers.find(request.key);
    if (!request.key.empty() && known != instance.answers.end()) {
        answer(index, id, known->second);
        return id;
    }
    const Duration wait = std::max(Duration{0}, instance.pausedUntil - m_events.now());
    m_events.after(wait, [this, index, id] {
        attempt(index, id);
    });
    return id;
}

void NaiveFleet::queryOutcome(std::size_t index, const std::string &key, AnswerHandler handler)
{
    const auto found = m_instances[index].answers.find(key);
    CallerAnswer result;
    if (m_instances[index].up) {
        result.kind = Kind::Refused;
        result.refusal.disposition = core::Disposition::Unknown;
    }
    handler(found == m_instances[index].answers.end() ? result : found->second);
}

std::optional<UpstreamId> NaiveFleet::choose(NaiveInstance &instance, const contract::ServicePolicy &service)
{
    std::vector<UpstreamId> usable;
    for (const contract::UpstreamPolicy &upstream : service.upstreams) {
        if (!isEjected(instance, upstream.id) && instance.upstreams[upstream.id].running < upstream.slots) {
            usable.push_back(upstream.id);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[static_cast<std::size_t>(uniform(m_random) * static_cast<double>(usable.size()))];
}

void NaiveFleet::attempt(std::size_t index, core::RequestId id)
{
    NaiveInstance &instance = m_instances[index];
    const auto found = instance.requests.find(id);
    if (found == instance.requests.end()) {
        return;
    }
    NaiveRequest &active = found->second;
    const std::optional<UpstreamId> upstream = choose(instance, *active.service);
    if (!upstream) {
        CallerAnswer result;
        result.kind = Kind::Refused;
        result.refusal.disposition = active.mayHaveRun ? core::Disposition::Unknown : core::Disposition::NotRun;
        result.refusal.reason = "no upstream";
        answer(index, id, result);
        return;
    }
    ++active.attempts;
    ++instance.upstreams[*upstream].running;
    if (onRoute) {
        onRoute({index, id, *upstream, false});
    }
    send({index, instance.generation, id, *upstream}, *active.operation);
}

bool NaiveFleet::isCut(const Sent &sent)
{
    const auto dead = m_dead.find({sent.index, sent.upstream});
    if (dead != m_dead.end() && dead->second > 0) {
        --dead->second;
        return true;
    }
    return m_cuts.contains({sent.index, sent.upstream});
}

void NaiveFleet::send(const Sent &sent, const contract::OperationPolicy &operation)
{
    const core::CallerRequest request = m_instances[sent.index].requests.at(sent.request).request;
    CallerAnswer lost;
    if (isCut(sent)) {
        m_events.after(operation.attemptTimeout, [this, sent, lost] {
            end(sent, lost, true, true);
        });
        return;
    }
    m_events.after(upstreamDelay, [this, sent, request, lost, timeout = operation.attemptTimeout] {
        fakes::FakeUpstream &upstream = m_upstreams.at(sent.upstream);
        const fakes::UpstreamAnswer result = upstream.accept(m_events.now(), request.key, request.fingerprint, m_random);
        if (result.end == core::AttemptEnd::ConnectFailed) {
            end(sent, lost, true, false);
            return;
        }
        const bool timedOut = !result.head || result.latency > timeout;
        const bool reset = result.end == core::AttemptEnd::Reset;
        m_events.after(timedOut && !reset ? timeout : result.latency, [this, sent, lost, result, timedOut] {
            m_upstreams.at(sent.upstream).release();
            if (timedOut) {
                end(sent, lost, true, true);
                return;
            }
            CallerAnswer answered;
            answered.kind = result.end == core::AttemptEnd::Complete ? Kind::Answered : Kind::Incomplete;
            answered.status = result.status;
            answered.stale = result.stale;
            end(sent, answered, result.status >= firstErrorStatus, result.ran);
        });
    });
}

void NaiveFleet::end(const Sent &sent, const CallerAnswer &result, bool failed, bool ran)
{
    NaiveInstance &instance = m_instances[sent.index];
    if (instance.generation != sent.generation) {
        return;
    }
    NaiveUpstream &upstream = instance.upstreams[sent.upstream];
    --upstream.running;
    upstream.errorsInRow = failed ? upstream.errorsInRow + 1 : 0;
    if (upstream.errorsInRow >= ejectingErrors && !isEjected(instance, sent.upstream)) {
        upstream.errorsInRow = 0;
        upstream.ejectedUntil = m_events.now() + ejectionTime;
        if (onEjection) {
            onEjection({sent.index, sent.upstream, "consecutive errors"});
        }
    }
    const auto found = instance.requests.find(sent.request);
    if (found == instance.requests.end()) {
        return;
    }
    NaiveRequest &active = found->second;
    active.mayHaveRun = active.mayHaveRun || ran;
    const bool repeatable = active.operation->idempotent || !ran;
    if (failed && repeatable && active.attempts < maximumAttempts) {
        attempt(sent.index, sent.request);
        return;
    }
    CallerAnswer final = result;
    if (final.kind == Kind::Lost) {
        final.kind = Kind::Refused;
        final.refusal.disposition = active.mayHaveRun ? core::Disposition::Unknown : core::Disposition::NotRun;
        final.refusal.reason = "no answer from upstreams";
    }
    answer(sent.index, sent.request, final);
}

void NaiveFleet::answer(std::size_t index, core::RequestId id, CallerAnswer result)
{
    NaiveInstance &instance = m_instances[index];
    const auto found = instance.requests.find(id);
    const NaiveRequest active = std::move(found->second);
    instance.requests.erase(found);
    result.latency = m_events.now() - active.arrived;
    if (!active.request.key.empty() && result.kind == Kind::Answered) {
        instance.answers[active.request.key] = result;
    }
    active.handler(result);
}

} // namespace

std::unique_ptr<measure::EntryFleet> makeNaiveFleet(std::size_t instances, std::uint64_t seed)
{
    return std::make_unique<NaiveFleet>(instances, seed);
}

} // namespace jackdawdoor::naive
