/** Rate limits that upstreams announce: the token bucket, the messages, and a fleet of instances in virtual time. */
#include "base/random.h"
#include "fleet/upstreamchoice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours{1}};
constexpr Duration step = milliseconds{5};
constexpr Duration windowLength = seconds{4};
/** The limit must be kept from this time after the first answer that announced it. */
constexpr Duration learningTime = seconds{3};

/** Instances that choose among the upstreams of one service and send each other notices, some of which are lost. */
class LimitFleet
{
public:
    LimitFleet(std::uint64_t seed, int upstreams, std::vector<double> limits, double requestsPerSecond)
        : m_random(seed)
        , m_limits(std::move(limits))
        , m_requestsPerSecond(requestsPerSecond)
        , m_instances(instanceCount)
        , m_arrivals(static_cast<std::size_t>(upstreams))
    {
        std::vector<UpstreamEntry> entries;
        for (int index = 0; index < upstreams; ++index) {
            UpstreamEntry entry;
            entry.id = idOf(static_cast<std::size_t>(index));
            entry.service = ServiceId{"s"};
            entry.address = "10.0.0.1:80";
            entry.slots = 6;
            entries.push_back(entry);
        }
        for (UpstreamTable &table : m_instances) {
            table.setEntries(start, entries);
        }
    }

    void play(Duration time)
    {
        for (TimePoint now = start; now < start + time; now += step) {
            deliver(now);
            // A quarter of the requests come in bursts, so that several instances choose at the same time.
            const bool burst = (now - start) % seconds{1} == Duration::zero();
            const double expected = m_requestsPerSecond * (burst ? 0.25 : 0.75 * toSeconds(step));
            const int requests = static_cast<int>(expected + uniform(m_random));
            for (int count = 0; count < requests; ++count) {
                send(now, m_random() % instanceCount);
            }
        }
    }

    /** Most requests to an upstream in one window in which its limit must be kept. */
    int mostInWindow(std::size_t upstream) const
    {
        const std::vector<TimePoint> &arrivals = m_arrivals[upstream];
        int most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first >= start + learningTime) {
                most = std::max(most, static_cast<int>(std::upper_bound(first, arrivals.end(), *first + windowLength) - first));
            }
        }
        return most;
    }

    std::size_t arrivals(std::size_t upstream) const
    {
        return m_arrivals[upstream].size();
    }

private:
    static constexpr std::size_t instanceCount = 12;

    struct Message {
        TimePoint due{};
        std::size_t to = 0;
        NoticeItem item;
    };

    static UpstreamId idOf(std::size_t index)
    {
        return UpstreamId{"u" + std::to_string(100 + index)};
    }

    void tellOthers(TimePoint now, std::size_t from, const NoticeItem &item)
    {
        for (std::size_t to = 0; to < instanceCount; ++to) {
            if (to != from && uniform(m_random) >= 0.03) {
                m_messages.push_back({now + milliseconds{10 + static_cast<int>(40 * uniform(m_random))}, to, item});
            }
        }
    }

    void deliver(TimePoint now)
    {
        std::erase_if(m_messages, [this, now](const Message &message) {
            if (message.due <= now) {
                m_instances[message.to].applyNotice(now, {{message.item}});
            }
            return message.due <= now;
        });
    }

    /** One request, answered at once. */
    void send(TimePoint now, std::size_t instance)
    {
        UpstreamTable &table = m_instances[instance];
        ChoiceRequest request;
        request.service = ServiceId{"s"};
        request.requestsPerSecond = m_requestsPerSecond;
        request.floorShare = 0.73;
        const UpstreamChoice choice = chooseUpstream(now, table, request, m_random);
        if (choice.upstream == nullptr) {
            return;
        }
        const UpstreamId id = choice.upstream->entry.id;
        const auto index = static_cast<std::size_t>(std::stoi(id.value.substr(1)) - 100);
        m_arrivals[index].push_back(now);
        if (const auto notice = table.beginAttempt(now, *choice.upstream)) {
            tellOthers(now, instance, *notice);
        }
        UpstreamSignals signals;
        if (index < m_limits.size()) {
            signals.rateLimit = m_limits[index];
        }
        if (const auto notice = table.recordSignals(now, id, 0, signals, true)) {
            tellOthers(now, instance, *notice);
        }
        table.endAttempt(now, id, 0, AttemptOutcome::Answered, milliseconds{2});
    }

    RandomSource m_random;
    std::vector<double> m_limits;
    double m_requestsPerSecond;
    std::vector<UpstreamTable> m_instances;
    std::vector<std::vector<TimePoint>> m_arrivals;
    std::vector<Message> m_messages;
};

UpstreamEntry makeEntry()
{
    UpstreamEntry entry;
    entry.id = UpstreamId{"u1"};
    entry.service = ServiceId{"s"};
    entry.slots = 6;
    return entry;
}

double allowedInWindow(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * toSeconds(windowLength) + 5;
}

} // namespace

TEST_CASE("a fleet without a coordinator does not exceed rate limits when instances choose at the same time")
{
    std::vector<double> limits;
    int upstreams = 21;
    double load = 84;
    SUBCASE("two of many upstreams")
    {
        limits = {1, 1.9};
    }
    SUBCASE("all upstreams, below the load")
    {
        limits = std::vector<double>(21, 2.0);
    }
    SUBCASE("a single upstream")
    {
        upstreams = 1;
        limits = {0.5};
    }
    SUBCASE("a higher limit under a higher load")
    {
        upstreams = 5;
        load = 400;
        limits = {20, 40};
    }
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        LimitFleet fleet(seed, upstreams, limits, load);
        fleet.play(seconds{30});
        for (std::size_t index = 0; index < limits.size(); ++index) {
            CHECK_MESSAGE(fleet.mostInWindow(index) <= allowedInWindow(limits[index]),
                          "seed " << seed << ": limit " << limits[index] << ", " << fleet.mostInWindow(index) << " requests");
        }
    }
}

TEST_CASE("rate limits of all upstreams are mostly used when the load exceeds them")
{
    LimitFleet fleet(1, 6, std::vector<double>(6, 2.0), 60);
    fleet.play(seconds{30});
    for (std::size_t index = 0; index < 6; ++index) {
        CHECK_MESSAGE(static_cast<double>(fleet.arrivals(index)) >= 0.75 * 2 * 30, "only " << fleet.arrivals(index) << " requests");
    }
}

TEST_CASE("a choice tells how long the rate limits of all upstreams reject a request")
{
    UpstreamTable table;
    const UpstreamEntry entry = makeEntry();
    table.setEntries(start, {entry});
    REQUIRE(table.recordSignals(start, entry.id, 0, {0.5}, true).has_value());
    RandomSource random(1);
    ChoiceRequest request;
    request.service = entry.service;
    UpstreamChoice choice = chooseUpstream(start, table, request, random);
    CHECK(choice.reason == ChoiceReason::RateLimited);
    CHECK(choice.wait == seconds{2});
    choice = chooseUpstream(start + seconds{2}, table, request, random);
    REQUIRE_MESSAGE(choice.upstream != nullptr, "the upstream gets no request although its limit allows one");
    table.beginAttempt(start + seconds{2}, *choice.upstream);
    CHECK(chooseUpstream(start + seconds{3}, table, request, random).upstream == nullptr);
}

TEST_CASE("a rate limit ends with an answer without one or with the incarnation, and not with a failure")
{
    UpstreamTable table;
    UpstreamEntry entry = makeEntry();
    entry.incarnation = 1;
    table.setEntries(start, {entry});
    const auto isLimited = [&table](std::int64_t incarnation) {
        return table.find(UpstreamId{"u1"}, incarnation)->announced.rateLimit.active();
    };
    REQUIRE(table.recordSignals(start, entry.id, 1, {1.0}, true).has_value());
    CHECK_MESSAGE(!table.recordSignals(start, entry.id, 1, {1.0}, true).has_value(),
                  "a known limit was announced to the other instances again");
    CHECK(!table.recordSignals(start, entry.id, 1, {}, false).has_value());
    CHECK(isLimited(1));
    CHECK(table.recordSignals(start, entry.id, 1, {}, true)->rateLimit == noRateLimit);
    CHECK(!isLimited(1));
    REQUIRE(table.recordSignals(start, entry.id, 1, {1.0}, true).has_value());
    entry.incarnation = 2;
    table.setEntries(start, {entry});
    CHECK_MESSAGE(!isLimited(2), "a new process at the same id inherits the limit");
    table.applyNotice(start, {{{upstreamKey(entry.id, 1), 0, 1, 1.0}}});
    CHECK_MESSAGE(!isLimited(2), "a late notice about the former process limits the new one");
}

TEST_CASE("a notice of a rate limit alone does not count as a request for the floor")
{
    UpstreamTable table;
    const UpstreamEntry entry = makeEntry();
    table.setEntries(start, {entry});
    const UpstreamRecord &record = *table.find(entry.id, 0);
    table.applyNotice(start, {{{record.key, 0, 0, 1.0}}});
    CHECK_MESSAGE(record.lastUsed == TimePoint{}, "the upstream counts as used although it got no request");
    table.applyNotice(start, {{{record.key, 0, 1, 1.0}}});
    CHECK(record.lastUsed == start);
}

TEST_CASE("invalid rate limits from other instances have no effect")
{
    FleetRateLimit limit;
    limit.set(start, std::numeric_limits<double>::quiet_NaN());
    limit.set(start, -1);
    CHECK(!limit.active());
    limit.set(start, 0);
    CHECK_MESSAGE(limit.timeUntilAllowed(start) <= seconds{10}, "a limit of zero keeps its end from being noticed");
    limit.count(start, 1000000);
    CHECK_MESSAGE(limit.timeUntilAllowed(start) <= seconds{20}, "a wrong count keeps the upstream out for long");
}
