/** Interface of a fleet to callers, faults and observers, so that the product and the naive policy run the same scenarios. */
#pragma once

#include "contract/policy.h"
#include "core/placementquery.h"
#include "fakes/virtualfleet.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jackdawdoor::measure {

/** One attempt at an upstream. */
struct RouteEvent {
    std::size_t instance = 0;
    core::RequestId request = 0;
    UpstreamId upstream;
    bool trial = false; ///< probation trial, not an ordinary request
};

/** One ejection by one instance. */
struct EjectionEvent {
    std::size_t instance = 0;
    UpstreamId upstream;
    std::string reason;
};

/** Healthy capacity of a service in the view of one instance. */
struct CapacityView {
    ServiceId service;
    int available = 0; ///< upstreams that are not ejected, draining, leaving or cold
    int ejected = 0;
    int floor = 0;
};

/** A fleet of entry instances in virtual time. */
class EntryFleet
{
public:
    using AnswerHandler = fakes::VirtualFleet::AnswerHandler;

    EntryFleet() = default;
    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;
    virtual ~EntryFleet() = default;

    virtual fakes::EventQueue &events() = 0;
    virtual RandomSource &random() = 0;
    virtual std::map<UpstreamId, fakes::FakeUpstream> &upstreams() = 0;
    virtual std::map<std::string, int> &runs() = 0;
    virtual std::set<std::uint64_t> &crashers() = 0;
    virtual std::size_t size() const = 0;

    /** Puts a contract into force, which takes the product some virtual seconds. */
    virtual void begin(const contract::CustomerPolicy &policy, const std::string &body) = 0;

    virtual core::PlacementReply place(std::size_t instance, const core::PlacementQuery &query) = 0;
    virtual std::size_t instanceAt(const std::string &address) const = 0;
    virtual core::RequestId request(std::size_t instance, const core::CallerRequest &request, AnswerHandler handler) = 0;
    virtual void abandon(std::size_t instance, core::RequestId request) = 0;
    virtual void queryOutcome(std::size_t instance, const std::string &key, AnswerHandler handler) = 0;

    virtual bool isUp(std::size_t instance) const = 0;
    virtual void crash(std::size_t instance) = 0;
    virtual void restart(std::size_t instance) = 0;
    virtual void pause(std::size_t instance, Duration duration) = 0;
    virtual void stop(std::size_t instance) = 0;
    virtual void cut(std::size_t from, std::size_t to, bool isCut) = 0;
    virtual void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut) = 0;
    virtual void silenceConnections(std::size_t instance, const UpstreamId &upstream, int connections) = 0;

    /** Capacity of each service that the instance uses. */
    virtual std::vector<CapacityView> capacity(std::size_t instance) = 0;

    virtual std::uint64_t controlBytes() const = 0;

    /** Product fleet, for access to the log and configuration; nullptr for the naive policy. */
    virtual fakes::VirtualFleet *product() = 0;

    std::function<void(const RouteEvent &)> onRoute;
    std::function<void(const EjectionEvent &)> onEjection;
};

} // namespace jackdawdoor::measure
