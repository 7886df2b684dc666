/** Checks the targets for detection time and false ejections in virtual time with fixed seeds. */
#include "simulatedservice.h"

#include <doctest/doctest.h>

#include <optional>

using namespace jackdawdoor;
using namespace jackdawdoor::test;
using contract::Weight;

namespace {

constexpr int seeds = 200;

struct Setup {
    double rate;
    int upstreams;
};

std::string describe(const Setup &setup, Weight weight)
{
    return std::string{weight == Weight::DetectionTime ? "detection-time" : "false-ejections"} + ", " + std::to_string(int(setup.rate))
           + " requests/s over " + std::to_string(setup.upstreams) + " upstreams";
}

/** Time from the onset of a fault to the last ordinary request that the upstream gets, or 10 s when it is never ejected.
 *
 * The fault affects a random upstream among those that got a request within the second before.
 */
double detectionSeconds(const Setup &setup, Weight weight, const Behaviour &fault, std::uint64_t seed)
{
    SimulatedService service{servicePolicy(setup.upstreams, weight), 1, setup.rate, seed};
    const auto onset = TimePoint{} + fromSeconds(12 + uniform(service.random()));
    std::vector<TimePoint> lastUse(setup.upstreams);
    std::optional<std::size_t> faulty;
    bool ejected = false;
    service.behaviour = [&faulty, &fault](TimePoint, std::size_t, std::size_t upstream) {
        return upstream == faulty ? fault : Behaviour{};
    };
    service.onDispatch = [&lastUse](TimePoint now, std::size_t, std::size_t upstream, health::AttemptKind kind) {
        if (kind == health::AttemptKind::Ordinary) {
            lastUse[upstream] = now;
        }
    };
    service.onChange = [&](TimePoint, std::size_t, const health::HealthChange &change) {
        ejected = ejected || (faulty && change.change == "eject" && change.upstream == service.policy().upstreams[*faulty].id);
    };
    service.runUntil(onset);
    std::vector<std::size_t> inUse;
    for (std::size_t index = 0; index < lastUse.size(); ++index) {
        if (onset - lastUse[index] <= std::chrono::seconds{1}) {
            inUse.push_back(index);
        }
    }
    faulty = inUse.at(service.random()() % inUse.size());
    service.runUntil(onset + fromSeconds(3.5)); // before the first probation trial
    const double last = std::max(0.0, toSeconds(lastUse[*faulty] - onset));
    return ejected || last == 0 ? last : 10;
}

void checkDetection(const Behaviour &fault, double bound, const std::string &name)
{
    for (const auto weight : {Weight::DetectionTime, Weight::FalseEjections}) {
        for (const auto &setup : {Setup{20, 6}, Setup{20, 25}, Setup{60, 8}, Setup{200, 25}}) {
            std::vector<double> times;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                times.push_back(detectionSeconds(setup, weight, fault, seed));
            }
            std::sort(times.begin(), times.end());
            const double p99 = times[seeds * 99 / 100 - 1];
            MESSAGE(name << ", " << describe(setup, weight) << ": p50 " << times[seeds / 2] << " s, p99 " << p99 << " s, max "
                         << times.back() << " s");
            CHECK_MESSAGE(p99 <= bound, name << " upstream kept receiving work too long: " << describe(setup, weight));
        }
    }
}

} // namespace

TEST_CASE("an upstream that fails every request stops receiving work within 1 s at p99")
{
    checkDetection({.errorRate = 1}, 1.0, "erroring");
}

TEST_CASE("an upstream that becomes 5x slower stops receiving work within 2 s at p99")
{
    checkDetection({.slowness = 5}, 2.0, "slow");
}

namespace {

/** Slowdowns by a factor of two for one second, as in a garbage collection; on average one a minute for each upstream. */
class TransientSlowdowns
{
public:
    TransientSlowdowns(int upstreams, std::uint64_t seed)
        : m_random(seed)
        , m_begin(upstreams)
    {
        for (auto &begin : m_begin) {
            begin = TimePoint{} + pause();
        }
    }

    bool active(TimePoint now, std::size_t upstream)
    {
        while (now >= m_begin[upstream] + std::chrono::seconds{1}) {
            m_begin[upstream] += std::chrono::seconds{1} + pause();
        }
        return now >= m_begin[upstream];
    }

private:
    Duration pause()
    {
        return fromSeconds(std::exponential_distribution<double>{1.0 / 60}(m_random));
    }

    RandomSource m_random;
    std::vector<TimePoint> m_begin;
};

int falseEjections(const Setup &setup, Weight weight, std::uint64_t seed)
{
    SimulatedService service{servicePolicy(setup.upstreams, weight), 1, setup.rate, seed};
    TransientSlowdowns slowdowns{setup.upstreams, seed + 1};
    int ejections = 0;
    service.behaviour = [&slowdowns](TimePoint now, std::size_t, std::size_t upstream) {
        return Behaviour{.slowness = slowdowns.active(now, upstream) ? 2.0 : 1.0};
    };
    service.onChange = [&ejections](TimePoint, std::size_t, const health::HealthChange &change) {
        ejections += change.change == "eject" ? 1 : 0;
        if (change.change == "eject") {
            MESSAGE("false ejection: " << change.reason);
        }
    };
    service.runUntil(TimePoint{} + std::chrono::hours{24});
    return ejections;
}

void checkFalseEjections(const Setup &setup, std::uint64_t seed)
{
    for (const auto weight : {Weight::DetectionTime, Weight::FalseEjections}) {
        const int allowed = weight == Weight::DetectionTime ? 1 : 0;
        const int ejections = falseEjections(setup, weight, seed);
        MESSAGE(describe(setup, weight) << ", seed " << seed << ": " << ejections << " false ejections in 24 h");
        CHECK_MESSAGE(ejections <= allowed, "healthy upstreams were ejected: " << describe(setup, weight));
    }
}

} // namespace

TEST_CASE("24 hours of noisy health eject nothing by mistake")
{
    checkFalseEjections({20, 6}, 1);
}

// Minutes of real time; run with --no-skip.
TEST_CASE("24 hours of noisy health eject nothing by mistake, larger services" * doctest::skip(true))
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        checkFalseEjections({20, 25}, seed);
        checkFalseEjections({60, 8}, seed);
        checkFalseEjections({200, 25}, seed);
    }
}
