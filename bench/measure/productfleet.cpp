#include "measure/productfleet.h"

#include <utility>

namespace jackdawdoor::measure {

namespace {

constexpr std::size_t dataCentres = 3;
/** Time for instances to discover each other. */
constexpr Duration discoveryTime = std::chrono::seconds{3};
/** Time for the first contract to come into force, including one lease term. */
constexpr Duration settlingTime = std::chrono::seconds{8};

class ProductFleet : public EntryFleet
{
public:
    ProductFleet(std::size_t instances, std::uint64_t seed)
        : m_fleet(instances, dataCentres, seed)
    {
        m_fleet.onDecision = [this](TimePoint, const InstanceId &instance, const core::LogDecision &decision) {
            onDecision(instance, decision);
        };
    }

    fakes::EventQueue &events() override
    {
        return m_fleet.events;
    }

    RandomSource &random() override
    {
        return m_fleet.random;
    }

    std::map<UpstreamId, fakes::FakeUpstream> &upstreams() override
    {
        return m_fleet.upstreams;
    }

    std::map<std::string, int> &runs() override
    {
        return m_fleet.runs;
    }

    std::set<std::uint64_t> &crashers() override
    {
        return m_fleet.crashers;
    }

    std::size_t size() const override
    {
        return m_fleet.size();
    }

    void begin(const contract::CustomerPolicy &policy, const std::string &body) override
    {
        m_fleet.addUpstreams(policy);
        m_fleet.run(discoveryTime);
        m_fleet.publish(policy.customer, 0, body, "first");
        m_fleet.run(settlingTime);
    }

    core::PlacementReply place(std::size_t instance, const core::PlacementQuery &query) override
    {
        return m_fleet.place(instance, query);
    }

    std::size_t instanceAt(const std::string &address) const override
    {
        return m_fleet.instanceAt(address);
    }

    core::RequestId request(std::size_t instance, const core::CallerRequest &request, AnswerHandler handler) override
    {
        return m_fleet.request(instance, request, std::move(handler));
    }

    void abandon(std::size_t instance, core::RequestId request) override
    {
        m_fleet.abandon(instance, request);
    }

    void queryOutcome(std::size_t instance, const std::string &key, AnswerHandler handler) override
    {
        m_fleet.queryOutcome(instance, key, std::move(handler));
    }

    bool isUp(std::size_t instance) const override
    {
        return m_fleet.isUp(instance);
    }

    void crash(std::size_t instance) override
    {
        m_fleet.crash(instance);
    }

    void restart(std::size_t instance) override
    {
        m_fleet.restart(instance);
    }

    void pause(std::size_t instance, Duration duration) override
    {
        m_fleet.pause(instance, duration);
    }

    void stop(std::size_t instance) override
    {
        m_fleet.stop(instance);
    }

    void cut(std::size_t from, std::size_t to, bool isCut) override
    {
        m_fleet.cut(from, to, isCut);
    }

    void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut) override
    {
        m_fleet.cutUpstream(instance, upstream, isCut);
    }

    void silenceConnections(std::size_t instance, const UpstreamId &upstream, int connections) override
    {
        m_fleet.silenceConnections(instance, upstream, connections);
    }

    std::vector<CapacityView> capacity(std::size_t instance) override
    {
        std::vector<CapacityView> views;
        if (!m_fleet.isUp(instance)) {
            return views;
        }
        for (const core::ServiceStatus &service : m_fleet.core(instance).status(m_fleet.now()).services) {
            CapacityView view{service.service, 0, 0, service.healthyFloor};
            for (const core::UpstreamStatus &upstream : service.upstreams) {
                using health::Standing;
                const bool ejected = upstream.standing == Standing::Ejected || upstream.standing == Standing::Probation;
                const bool away = upstream.standing == Standing::Draining || upstream.standing == Standing::Leaving
                                  || upstream.standing == Standing::Cold;
                view.ejected += ejected ? 1 : 0;
                view.available += ejected || away ? 0 : 1;
            }
            views.push_back(view);
        }
        return views;
    }

    std::uint64_t controlBytes() const override
    {
        return m_fleet.controlBytes;
    }

    fakes::VirtualFleet *product() override
    {
        return &m_fleet;
    }

private:
    void onDecision(const InstanceId &instance, const core::LogDecision &decision)
    {
        if (decision.kind == "route" && onRoute) {
            onRoute({indexOf(instance), decision.request, UpstreamId{decision.choice}, decision.reason == "trial"});
        } else if (decision.kind == "eject" && onEjection) {
            onEjection({indexOf(instance), UpstreamId{decision.subject}, decision.reason});
        }
    }

    static std::size_t indexOf(const InstanceId &instance)
    {
        return static_cast<std::size_t>(std::stoul(instance.value.substr(instance.value.rfind('-') + 1)));
    }

    fakes::VirtualFleet m_fleet;
};

} // namespace

std::unique_ptr<EntryFleet> makeProductFleet(std::size_t instances, std::uint64_t seed)
{
    return std::make_unique<ProductFleet>(instances, seed);
}

} // namespace jackdawdoor::measure
