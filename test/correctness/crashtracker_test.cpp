/** fleet::CrashTracker: evidence, refusals, clearances, and a fleet of trackers that lose messages, in virtual time. */
#include "base/random.h"
#include "fleet/crashtracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
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

/** An attempt that began before its upstream's end was noticed, and the proof that the upstream had crashed. */
void crashDuring(CrashTracker &tracker, TimePoint begun, TimePoint lost, std::uint64_t request, std::uint32_t upstream)
{
    tracker.recordBrokenConnection(lost, request, upstream, begun);
    static_cast<void>(tracker.recordUnreachable(lost + milliseconds{20}, upstream));
}

/** Instances that get a request several times at once, which crashes each upstream after a while. Datagrams take time, and some
 * are lost. */
class ParallelRepeats
{
public:
    /** pause: between the repeats of one caller, at most. */
    ParallelRepeats(std::uint64_t seed, int copies, Duration pause)
        : m_random(seed)
        , m_copies(copies)
        , m_pause(pause)
    {
        for (int index = 0; index < instanceCount; ++index) {
            m_instances.emplace_back(uniform(m_random));
        }
    }

    /** Returns the number of upstreams that the request reached later than three seconds after it had crashed the third. */
    int play(Duration time)
    {
        int counted = 0;
        TimePoint nextRepeat = start;
        TimePoint nextExchange = start;
        for (TimePoint now = start; now < start + time; now += milliseconds{5}) {
            endAttempts(now);
            if (now >= nextRepeat) {
                nextRepeat = now + milliseconds{200} + std::chrono::duration_cast<Duration>(m_pause * uniform(m_random));
                for (int copy = 0; copy < m_copies; ++copy) {
                    counted += send(now) && m_crashes >= 3 && now - m_thirdCrash > seconds{3} ? 1 : 0;
                }
            }
            if (now >= nextExchange) {
                nextExchange = now + milliseconds{500};
                for (CrashTracker &instance : m_instances) {
                    share(now, instance, m_instances[m_random() % instanceCount]);
                }
            }
        }
        return counted;
    }

private:
    static constexpr int instanceCount = 12;

    struct Running {
        std::size_t instance = 0;
        TimePoint begun{};
        TimePoint end{};
    };
    struct Broadcast {
        std::size_t instance = 0;
        TimePoint at{};
    };

    bool send(TimePoint now)
    {
        const std::size_t instance = m_random() % instanceCount;
        if (m_instances[instance].refused(now, crashing)) {
            return false;
        }
        m_instances[instance].recordAttempt(now, crashing);
        m_running.push_back({instance, now, now + milliseconds{5 + static_cast<int>(150 * uniform(m_random))}});
        return true;
    }

    void endAttempts(TimePoint now)
    {
        const auto ended = std::partition(m_running.begin(), m_running.end(), [now](const Running &running) {
            return running.end > now;
        });
        for (auto attempt = ended; attempt != m_running.end(); ++attempt) {
            CrashTracker &instance = m_instances[attempt->instance];
            crashDuring(instance, attempt->begun, now, crashing, static_cast<std::uint32_t>(++m_crashes));
            m_thirdCrash = m_crashes == 3 ? now : m_thirdCrash;
            // As proxy::CrashDetector sends them: at once, and again with the next periodic work, each 100 ms.
            m_broadcasts.push_back({attempt->instance, now + milliseconds{20}});
            m_broadcasts.push_back({attempt->instance, now + milliseconds{120}});
        }
        m_running.erase(ended, m_running.end());
        broadcastDue(now);
    }

    void broadcastDue(TimePoint now)
    {
        std::erase_if(m_broadcasts, [this, now](const Broadcast &broadcast) {
            if (broadcast.at > now) {
                return false;
            }
            for (CrashTracker &other : m_instances) {
                share(now, m_instances[broadcast.instance], other);
            }
            return true;
        });
    }

    void share(TimePoint now, const CrashTracker &from, CrashTracker &to)
    {
        for (const CrashRecord &record : from.records(now, 16)) {
            if (uniform(m_random) > 0.33) {
                to.merge(now + milliseconds{1 + static_cast<int>(3 * uniform(m_random))}, record);
            }
        }
    }

    RandomSource m_random;
    int m_copies;
    Duration m_pause;
    std::vector<CrashTracker> m_instances;
    std::vector<Running> m_running;
    std::vector<Broadcast> m_broadcasts;
    int m_crashes = 0;
    TimePoint m_thirdCrash{};
};

} // namespace

// Guards against refusing a popular request of all callers because two upstreams ended while they ran it.
TEST_CASE("upstreams that end at about the same time while they run a popular request are no evidence against it")
{
    CrashTracker first;
    CrashTracker second;
    crashDuring(first, start - milliseconds{80}, start, crashing, 1);
    crashDuring(first, start - milliseconds{30}, start + milliseconds{300}, crashing, 2);
    crashDuring(second, start - milliseconds{50}, start + milliseconds{40}, crashing, 3);
    const TimePoint later = start + milliseconds{330};
    second.merge(later, first.record(later, crashing));
    first.merge(later, second.record(later, crashing));
    CHECK(first.crashes(crashing) == 3);
    CHECK_MESSAGE(!first.refused(later, crashing), "refused without a repeat that crashed another upstream");
    CHECK_MESSAGE(!second.refused(later, crashing), "refused without a repeat that crashed another upstream");
    SUBCASE("a repeat that crashes another upstream is evidence, at each instance")
    {
        crashDuring(second, start + milliseconds{400}, start + milliseconds{450}, crashing, 4);
        const TimePoint end = start + milliseconds{480};
        first.merge(end, second.record(end, crashing));
        CHECK(second.refused(end, crashing));
        CHECK(first.refused(end, crashing));
    }
}

TEST_CASE("a crash that follows another is recognised at an instance that learns of both, in either order and repeated")
{
    CrashTracker first;
    CrashTracker second;
    crashDuring(first, start, start + milliseconds{50}, crashing, 1);
    crashDuring(second, start + milliseconds{60}, start + milliseconds{90}, crashing, 2);
    const TimePoint later = start + seconds{1};
    const std::vector<CrashRecord> records{first.record(later, crashing), second.record(later, crashing)};
    for (const bool reversed : {false, true}) {
        CrashTracker third;
        CHECK(third.merge(later, records[reversed ? 1 : 0]));
        CHECK(!third.refused(later, crashing));
        CHECK(third.merge(later, records[reversed ? 0 : 1]));
        CHECK(third.refused(later, crashing));
        CHECK_MESSAGE(!third.merge(later + seconds{1}, third.record(later + seconds{1}, crashing)), "a repeated record is new");
    }
}

TEST_CASE("crashes in records of earlier versions count as crashes one after the other")
{
    CrashTracker tracker;
    tracker.merge(start, {crashing, 0, {}, {1}});
    CHECK(!tracker.refused(start, crashing));
    crashDuring(tracker, start - seconds{1}, start, crashing, 2);
    CHECK(tracker.refused(start + milliseconds{20}, crashing));
}

TEST_CASE("records with inconsistent attempts are ignored")
{
    const std::vector<std::vector<std::optional<CrashedAttempt>>> malformed{
        {CrashedAttempt{seconds{2}, seconds{1}}}, // one for two upstreams
        {CrashedAttempt{seconds{1}, seconds{2}}, std::nullopt}, // lost before it began
        {CrashedAttempt{seconds{1}, -seconds{1}}, std::nullopt},
        {CrashedAttempt{Duration::max(), seconds{1}}, std::nullopt}};
    for (const auto &attempts : malformed) {
        CrashTracker tracker;
        CHECK(!tracker.merge(start, {crashing, 0, {}, {1, 2}, attempts}));
        CHECK(tracker.empty());
    }
}

TEST_CASE("a request that crashes each upstream reaches few of them although it is repeated several times at once")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        for (const Duration pause : {Duration{seconds{1}}, Duration{seconds{6}}}) {
            for (int copies = 1; copies <= 3; ++copies) {
                const int reached = ParallelRepeats(seed, copies, pause).play(seconds{100});
                CHECK_MESSAGE(reached <= 3, "seed " << seed << ", " << copies << " at once: " << reached << " more upstreams");
            }
        }
    }
}

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
