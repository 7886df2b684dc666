/** Requests of two priorities on a service with too little capacity, in virtual time. */
#include "fakes/eventqueue.h"
#include "fleet/upstreamchoice.h"
#include "limits/scarcecapacity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <string>

using namespace jackdawdoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId service{"svc"};
constexpr int upstreams = 20;
constexpr int slots = 2;
constexpr Duration work = milliseconds{200}; // 200 requests a second in all
constexpr Duration objective = milliseconds{500};
constexpr Duration maximumWait = objective / 8;

/** What the callers of one priority got. */
struct Served {
    int requests = 0;
    int onTime = 0;
    int late = 0;

    double shareOnTime() const
    {
        return static_cast<double>(onTime) / std::max(1, requests);
    }
};

/** One instance before upstreams that work on as many requests as they have slots, and queue the others. */
class LoadedService
{
public:
    LoadedService()
    {
        std::vector<fleet::UpstreamEntry> entries;
        for (int number = 0; number < upstreams; ++number) {
            fleet::UpstreamEntry entry;
            entry.id = UpstreamId{"u" + std::to_string(number)};
            entry.service = service;
            entry.incarnation = 1;
            entry.slots = slots;
            entries.push_back(entry);
        }
        m_table.setEntries(m_events.now(), entries);
    }

    /** Requests of one priority at a constant mean rate, until the end of the load. */
    void offer(int priority, double requestsPerSecond, Duration from, Duration until)
    {
        m_events.after(from, [=, this] {
            arrive(priority, requestsPerSecond, m_events.now() + (until - from));
        });
    }

    std::map<int, Served> run(Duration length)
    {
        m_events.runUntil(m_events.now() + length);
        return m_served;
    }

private:
    struct Upstream {
        int running = 0;
        std::deque<std::function<void()>> queue;
    };

    void arrive(int priority, double requestsPerSecond, TimePoint until)
    {
        if (m_events.now() >= until) {
            return;
        }
        m_demand.add(m_events.now(), priority);
        ++m_served[priority].requests;
        place(priority, m_events.now());
        m_events.after(fromSeconds(-std::log(1 - uniform(m_random)) / requestsPerSecond), [=, this] {
            arrive(priority, requestsPerSecond, until);
        });
    }

    void place(int priority, TimePoint begun)
    {
        const TimePoint now = m_events.now();
        fleet::ChoiceRequest request;
        request.service = service;
        request.queueShare = limits::capacityUseFor(m_demand.moreUrgentShare(now, priority)).queueShare;
        const fleet::UpstreamChoice choice = fleet::chooseUpstream(now, m_table, request, m_random);
        if (choice.upstream == nullptr) {
            if (now - begun < maximumWait) {
                m_events.after(milliseconds{20}, [=, this] {
                    place(priority, begun);
                });
            }
            return;
        }
        m_table.beginAttempt(now, *choice.upstream);
        const UpstreamId id = choice.upstream->entry.id;
        Upstream &upstream = m_upstreams[id];
        const auto start = [=, this, &upstream] {
            ++upstream.running;
            m_events.after(work, [=, this, &upstream] {
                finish(priority, begun, id, upstream);
            });
        };
        if (upstream.running < slots) {
            start();
        } else {
            upstream.queue.emplace_back(start);
        }
    }

    void finish(int priority, TimePoint begun, const UpstreamId &id, Upstream &upstream)
    {
        const TimePoint now = m_events.now();
        m_table.endAttempt(now, id, 1, fleet::AttemptOutcome::Answered, now - begun);
        ++(now - begun <= objective ? m_served[priority].onTime : m_served[priority].late);
        --upstream.running;
        if (!upstream.queue.empty()) {
            const auto next = std::move(upstream.queue.front());
            upstream.queue.pop_front();
            next();
        }
    }

    fakes::EventQueue m_events;
    fleet::UpstreamTable m_table;
    limits::PriorityDemand m_demand;
    RandomSource m_random{7};
    std::map<UpstreamId, Upstream> m_upstreams;
    std::map<int, Served> m_served;
};

} // namespace

// Guards against urgent requests that are late or refused because a burst of less urgent ones has filled the queues.
TEST_CASE("urgent requests are served on time during a burst of less urgent ones, which get the rest of the capacity")
{
    LoadedService loaded;
    loaded.offer(0, 80, seconds{0}, seconds{20});
    loaded.offer(2, 250, seconds{5}, seconds{15});
    const auto served = loaded.run(seconds{22});
    MESSAGE("on time: urgent " << served.at(0).shareOnTime() << ", others " << served.at(2).shareOnTime());
    CHECK(served.at(0).shareOnTime() > 0.97);
    // 120 of 200 requests a second are left for 250.
    CHECK(served.at(2).shareOnTime() > 0.85 * 120 / 250);
}

// Guards against a rule that holds requests back when there is nothing more urgent.
TEST_CASE("requests of a single priority use all of the capacity, whatever the priority is")
{
    for (const int priority : {0, 3}) {
        LoadedService loaded;
        loaded.offer(priority, 300, seconds{0}, seconds{10});
        const Served served = loaded.run(seconds{12}).at(priority);
        CHECK_MESSAGE(served.onTime + served.late > 1900, "only " << served.onTime + served.late << " of 2,000 requests were served");
    }
}

// Guards against requests that are held back for a few urgent ones, or long after the urgent ones have ended.
TEST_CASE("only a significant share of more urgent requests makes others yield, and it is forgotten soon")
{
    constexpr TimePoint start{seconds{1000}};
    limits::PriorityDemand demand;
    CHECK(demand.moreUrgentShare(start, 1) == 0);
    for (int count = 0; count < 99; ++count) {
        demand.add(start, 2);
    }
    demand.add(start, 0);
    CHECK(demand.moreUrgentShare(start, 2) == doctest::Approx(0.01));
    CHECK(demand.moreUrgentShare(start, 0) == 0);
    CHECK(limits::capacityUseFor(0.01) == limits::CapacityUse{});
    CHECK(limits::capacityUseFor(0.3).queueShare < 0.5);
    CHECK(limits::capacityUseFor(0.3).retryAfterFactor > 1);
    for (int count = 0; count < 50; ++count) {
        demand.add(start, 0);
    }
    demand.add(start + seconds{20}, 2);
    CHECK(demand.moreUrgentShare(start + seconds{20}, 2) < 0.01);
}

// Guards against work at an upstream for an answer that nobody waits for any more.
TEST_CASE("a request is not queued at an upstream where its deadline would pass")
{
    constexpr TimePoint start{seconds{1000}};
    fleet::UpstreamEntry entry;
    entry.id = UpstreamId{"u"};
    entry.service = service;
    entry.incarnation = 1;
    entry.slots = 1;
    fleet::UpstreamTable table;
    table.setEntries(start, {entry});
    table.beginAttempt(start, *table.find(entry.id, 1));
    table.endAttempt(start, entry.id, 1, fleet::AttemptOutcome::Answered, milliseconds{400});
    RandomSource random(1);
    fleet::ChoiceRequest request;
    request.service = service;
    request.timeLeft = milliseconds{300};
    CHECK_MESSAGE(fleet::chooseUpstream(start, table, request, random).upstream != nullptr, "a free slot was not used");
    table.beginAttempt(start, *table.find(entry.id, 1));
    request.timeLeft = milliseconds{700};
    CHECK(fleet::chooseUpstream(start, table, request, random).reason == fleet::ChoiceReason::NoRoom);
    request.timeLeft = milliseconds{900};
    CHECK(fleet::chooseUpstream(start, table, request, random).upstream != nullptr);
}
