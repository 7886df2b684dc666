/** One measurement run: fleet, callers, faults and observers. */
#pragma once

#include "measure/callers.h"
#include "measure/entryfleet.h"
#include "measure/measurement.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace jackdawdoor::measure {

/** Parameters of a run. */
struct RunOptions {
    std::string deployment = "quetzal";
    bool naive = false;
    std::uint64_t seed = 1;
    std::size_t instances = 48;
    CallerOptions callers;
};

/** Fleet under load. Injected faults are recorded, so that their expected effects are not counted as errors. */
class World
{
public:
    World(const RunOptions &options, const std::string &scenario);

    /** Runs the load for the given time. Faults must be scheduled beforehand. */
    void run(Duration duration);

    /** Runs without new load. */
    void rest(Duration duration);

    /** Clears all faults, queries outstanding outcomes and evaluates the run. */
    const Measurement &finish();

    /** Schedules the action after the delay. */
    void at(Duration delay, std::function<void()> action);

    /** Changes an upstream's behaviour; ejecting it is correct until some seconds after heal(). */
    void impair(const UpstreamId &upstream, const fakes::UpstreamBehaviour &behaviour);
    void heal(const UpstreamId &upstream);

    /** Measures the time until the upstream stops receiving ordinary requests. */
    void watch(const UpstreamId &upstream);
    void endWatch(const UpstreamId &upstream);

    /** Blocks or restores the path from an instance to an upstream; ejecting the upstream at that instance is correct. */
    void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut);
    void silence(std::size_t instance, const UpstreamId &upstream, int connections);

    /** Blocks or restores messages in one direction. */
    void cut(std::size_t from, std::size_t to, bool isCut);

    /** Crashes or stops an instance and starts it again later. */
    void crash(std::size_t instance, Duration downTime);
    void stop(std::size_t instance, Duration downTime);

    /** Publishes a new contract on the current base version, or with `stale` on an older one, which must be rejected. */
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
    std::vector<Accepted> m_accepted; ///< publishes based on the version that was then current
    std::map<std::pair<std::size_t, Incarnation>, configuration::Version> m_versions;
    int m_publishes = 0;
    bool m_sampling = true;
    TimePoint m_began;
    std::uint64_t m_controlBytesBefore = 0;
};

} // namespace jackdawdoor::measure
