/** fleet::CrashTracker: evidence, refusals, clearances, and a fleet of trackers that lose messages, in virtual time. */
#include "base/random.h"
#include "fleet/crashtracker.h"

#include <doctest/doctest.h>

#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours{1}};
constexpr std::uint64_t crashing = 42;

void crash(CrashTracker &tracker, TimePoint now, std::uint64_t request, std::uint32_t upstream)
{
    tracker.recordBrokenConnection(now, request, upstream);
    static_cast<void>(tracker.recordUnreachable(now + milliseconds{20}, upstream));
}

/** Instances that exchange their records; some datagrams are lost, and instances restart without their records. */
class TrackerFleet
{
public:
    explicit TrackerFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (int index = 0; index < instanceCount; ++index) {
            m_instances.push_back({CrashTracker(uniform(m_random)), start - seconds{10}});
        }
    }

    /** Returns the number of retries that the rule counts: sent by instances that have run for three seconds, later than three
     * seconds after the third crash. */
    int play(Duration time)
    {
        int counted = 0;
        TimePoint nextRequest = start;
        TimePoint nextRestart = start + seconds{4};
        TimePoint nextRepeat = start;
        for (TimePoint now = start; now < start + time; now += milliseconds{50}) {
            if (now >= nextRequest) {
                nextRequest = now + milliseconds{200 + static_cast<int>(1000 * uniform(m_random))};
                counted += receiveRequest(now) ? 1 : 0;
            }
            if (now >= nextRestart) {
                nextRestart = now + seconds{4};
                m_instances[m_random() % instanceCount] = {CrashTracker(uniform(m_random)), now};
            }
            if (now >= nextRepeat) {
                nextRepeat = now + milliseconds{500};
                repeatRecords(now);
            }
        }
        return counted;
    }

private:
    static constexpr int instanceCount = 12;

    struct Instance {
        CrashTracker tracker;
        TimePoint started{};
    };

    bool isLost()
    {
        return uniform(m_random) < 0.33;
    }

    /** Returns true if the request is sent to an upstream and the rule counts it. */
    bool receiveRequest(TimePoint now)
    {
        Instance &instance = m_instances[m_random() % instanceCount];
        if (instance.tracker.refused(now, crashing)) {
            return false;
        }
        instance.tracker.recordAttempt(now, crashing);
        const bool counts = m_crashes >= 3 && now - m_thirdCrash > seconds{3} && now - instance.started > seconds{3};
        crash(instance.tracker, now, crashing, static_cast<std::uint32_t>(++m_crashes));
        if (m_crashes == 3) {
            m_thirdCrash = now;
        }
        const CrashRecord record = instance.tracker.record(now + milliseconds{20}, crashing);
        for (Instance &other : m_instances) {
            if (!isLost()) {
                other.tracker.merge(now + milliseconds{25}, record);
            }
        }
        return counts;
    }

    void repeatRecords(TimePoint now)
    {
        for (Instance &instance : m_instances) {
            for (const CrashRecord &record : instance.tracker.records(now, 16)) {
                Instance &receiver = m_instances[m_random() % instanceCount];
                if (!isLost()) {
                    receiver.tracker.merge(now, record);
                }
            }
        }
    }

    RandomSource m_random;
    std::vector<Instance> m_instances;
    int m_crashes = 0;
    TimePoint m_thirdCrash{};
};

} // namespace

TEST_CASE("a request that crashes upstreams is refused, and one that only met connection resets is not")
{
    CrashTracker tracker;
    for (std::uint32_t upstream = 1; upstream <= 2; ++upstream) {
        tracker.recordBrokenConnection(start, crashing, upstream);
        CHECK_MESSAGE(!tracker.refused(start, crashing), "refused before two upstreams crashed");
        const auto attributed = tracker.recordUnreachable(start + milliseconds{300}, upstream);
        REQUIRE(attributed == std::vector<std::uint64_t>{crashing});
    }
    CHECK(tracker.refused(start + seconds{1}, crashing));
    tracker.recordBrokenConnection(start, 43, 9);
    CHECK_MESSAGE(tracker.recordUnreachable(start + seconds{5}, 9).empty(),
                  "a reset long before the upstream became unreachable counts as a crash");
}

TEST_CASE("a crash is recognised when the upstream is back at once and only its entry is replaced")
{
    CrashTracker tracker;
    tracker.recordBrokenConnection(start, crashing, 1);
    CHECK(tracker.recordRemoved(start + seconds{5}, 1).size() == 1);
    CHECK(tracker.crashes(crashing) == 1);
}

TEST_CASE("a refused connection that comes too late as proof leaves the proof by a replaced entry open")
{
    CrashTracker tracker;
    tracker.recordBrokenConnection(start, crashing, 1);
    CHECK(tracker.recordUnreachable(start + seconds{3}, 1).empty());
    CHECK_MESSAGE(tracker.recordRemoved(start + seconds{5}, 1).size() == 1, "the broken connection was forgotten");
}

TEST_CASE("a request that was in progress during unrelated crashes is not refused once it was answered")
{
    CrashTracker first;
    CrashTracker second;
    crash(first, start, crashing, 1);
    crash(first, start, crashing, 2);
    second.merge(start + seconds{1}, first.record(start + seconds{1}, crashing));
    REQUIRE(second.refused(start + seconds{1}, crashing));
    const TimePoint later = start + seconds{40};
    REQUIRE_MESSAGE(!second.refused(later, crashing), "no attempt is allowed after the refusal time");
    second.recordAttempt(later, crashing);
    CHECK_MESSAGE(second.refused(later, crashing), "more than one attempt is allowed at a time");
    CHECK(second.recordAnswer(later, crashing));
    CHECK(!second.refused(later, crashing));
    first.merge(later, second.record(later, crashing));
    CHECK_MESSAGE(!first.refused(later, crashing), "the clearance did not reach the other instance");
    second.merge(later, {crashing, 0, {}, {1, 2}});
    CHECK_MESSAGE(!second.refused(later, crashing), "an old record undid the clearance");
}

TEST_CASE("an answer after a broken connection keeps the request from being suspected of a later crash")
{
    CrashTracker tracker;
    tracker.recordBrokenConnection(start, crashing, 1);
    CHECK(!tracker.recordAnswer(start + milliseconds{10}, crashing));
    CHECK(tracker.recordUnreachable(start + milliseconds{20}, 1).empty());
}

TEST_CASE("a fleet that loses messages and restarts instances sends a request that crashes upstreams few times")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        TrackerFleet fleet(seed);
        const int retries = fleet.play(seconds{100});
        CHECK_MESSAGE(retries <= 3, "seed " << seed << ": " << retries << " retries reached upstreams after the third crash");
    }
}

TEST_CASE("records of other instances cannot fill the memory")
{
    CrashTracker tracker;
    for (std::uint64_t request = 1; request <= 5000; ++request) {
        tracker.merge(start, {request, 0, {}, std::vector<std::uint32_t>(100, static_cast<std::uint32_t>(request))});
    }
    CHECK(tracker.records(start, 5000).size() <= 2000);
    CHECK(!tracker.merge(start, {1, 0, -seconds{1}, {1}}));
}
