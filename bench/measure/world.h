/** One run: fleet, callers, faults and what is watched. */
#pragma once

#include "measure/callers.h"
#include "measure/entryfleet.h"
#include "measure/measurement.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace jackdawdoor::measure {

/** What a run is made of. */
struct RunOptions {
    std::string deployment = "quetzal";
    bool naive = false;
    std::uint64_t seed = 1;
    std::size_t instances = 48;
    CallerOptions callers;
};

/** A fleet under load, with faults that know what they do to the figures. */
class World
{
public:
    World(const RunOptions &options, const std::string &scenario);

    /** Starts the load and runs until the end of it; faults are scheduled before. */
    void run(Duration duration);

    /** Runs without new load. */
    void rest(Duration duration);

    /** Ends all faults, asks for open outcomes and judges. */
    const Measurement &finish();

    /** Runs the action that long after now. */
    void at(Duration delay, std::function<void()> action);

    /** Changes an upstream; ejecting it is right until `healed`, and some seconds longer. */
    void impair(const UpstreamId &upstream, const fakes::UpstreamBehaviour &behaviour);
    void heal(const UpstreamId &upstream);

    /** Measures when the upstream stops receiving ordinary work from now on. */
    void watch(const UpstreamId &upstream);
    void endWatch(const UpstreamId &upstream);

    /** Cuts an instance from an upstream; its ejection there is right. */
    void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut);
    void silence(std::size_t instance, const UpstreamId &upstream, int connections);

    /** Cuts messages one way. */
    void cut(std::size_t from, std::size_t to, bool isCut);

    /** Crashes or stops an instance and starts it again later. */
    void crash(std::size_t instance, Duration downTime);
    void stop(std::size_t instance, Duration downTime);

    /** Publishes a new contract with the present base version; `stale` takes an older base, which must lose. */
    void publish(bool stale, bool twice);

    std::size_t drawInstance();
    UpstreamId drawUpstream(const contract::ServicePolicy &service);
    const contract::ServicePolicy &drawService();
    const contract::ServicePolicy &busiestService() const;
    const contract::ServicePolicy *submissionService() const;

    EntryFleet &fleet();
    Callers &callers();
    Measurement &measurement();
    const contract::CustomerPolicy &policy() const;
    RandomSource &random();

private:
    struct Watch {
        TimePoint start;
        TimePoint last;
        bool detected = false;
    };
    struct Accepted {
        configuration::Version version = 0;
        TimePoint at;
        std::set<std::size_t> inForce;
    };

    void onRoute(const RouteEvent &event);
    void onEjection(const EjectionEvent &event);
    void sample();
    void sampleVersions();
    void checkVersion(std::size_t instance, Incarnation incarnation, configuration::Version version);
    void record(const Watch &watch);

    std::unique_ptr<EntryFleet> m_fleet;
    std::string m_body;
    contract::CustomerPolicy m_policy;
    Measurement m_measurement;
    std::unique_ptr<Callers> m_callers;
    RandomSource m_random;
    std::map<UpstreamId, Watch> m_watches;
    std::map<UpstreamId, TimePoint> m_impairedUntil;
    std::map<std::pair<std::size_t, UpstreamId>, TimePoint> m_cutUntil;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::unordered_set<core::RequestId> m_routed;
    std::vector<Accepted> m_accepted; ///< publishes that won, by the one rule
    std::map<std::pair<std::size_t, Incarnation>, configuration::Version> m_versions;
    int m_publishes = 0;
    bool m_sampling = true;
    TimePoint m_began;
    std::uint64_t m_controlBytesBefore = 0;
};

} // namespace jackdawdoor::measure
