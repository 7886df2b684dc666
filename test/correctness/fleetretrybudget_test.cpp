/** Checks the fleet-wide bound on retries, and that a small service's failures are retried within it. */
#include "limits/fleetretrybudget.h"

#include "base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace jackdawdoor;
using namespace jackdawdoor::limits;

namespace {

constexpr int fleetSize = 48;
constexpr Duration step = std::chrono::milliseconds{10};
constexpr Duration reportPeriod = std::chrono::milliseconds{250};

/** Parameters of a run. */
struct Load {
    double perSecond = 0;
    double failureShare = 1;
    int placed = 12; ///< instances that have requests at a time
    Duration moveEvery{}; ///< callers move to the next instances; zero: they stay
    Duration restartEvery{}; ///< all instances restart; zero: never
    Duration calmFor{}; ///< requests fail only in every second such period, so that a balance builds up before
    bool hearsHalf = false; ///< each instance gets the reports of only half of the others
};

using Budgets = std::vector<FleetRetryBudget>;

void exchangeReports(TimePoint now, bool hearsHalf, Budgets &budgets)
{
    for (std::size_t from = 0; from < budgets.size(); ++from) {
        const int requests = budgets[from].takeUnreportedRequests();
        for (std::size_t to = 0; to < budgets.size(); ++to) {
            if (to != from && (!hearsHalf || from % 2 == to % 2)) {
                budgets[to].onRemoteRequests(now, requests);
            }
        }
    }
}

/** Times of requests and retries of one service in the fleet. */
struct Traffic {
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    int failures = 0;
};

TimePoint at(double seconds)
{
    return TimePoint{} + fromSeconds(seconds);
}

Traffic simulate(const Load &load, Duration length, RandomSource &random)
{
    const FleetRetryLimits limits;
    Budgets budgets(fleetSize, FleetRetryBudget(limits));
    Traffic traffic;
    for (TimePoint now = at(100); now < at(100) + length; now += step) {
        const Duration since = now - at(100);
        if (load.restartEvery > Duration::zero() && since % load.restartEvery < step) {
            budgets.assign(fleetSize, FleetRetryBudget(limits));
        }
        if (since % reportPeriod < step) {
            exchangeReports(now, load.hearsHalf, budgets);
        }
        const int moves = load.moveEvery > Duration::zero() ? static_cast<int>(since / load.moveEvery) : 0;
        for (double due = load.perSecond * toSeconds(step); uniform(random) < due; due -= 1) {
            const int instance = (moves * load.placed + static_cast<int>(uniform(random) * load.placed)) % fleetSize;
            auto &budget = budgets[static_cast<std::size_t>(instance)];
            budget.onOriginal(now);
            traffic.requests.push_back(now);
            const bool calm = load.calmFor > Duration::zero() && since / load.calmFor % 2 == 0;
            if (!calm && uniform(random) < load.failureShare) {
                ++traffic.failures;
                if (budget.tryRetry(now)) {
                    traffic.retries.push_back(now);
                }
            }
        }
    }
    return traffic;
}

double countBetween(const std::vector<TimePoint> &times, TimePoint from, TimePoint to)
{
    return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
}

/** Largest excess over the specified bound in any window. */
double worstExcess(const Traffic &traffic, Duration length)
{
    const FleetRetryLimits limits;
    double worst = -limits.slack;
    for (TimePoint from = at(100); from + limits.window <= at(100) + length; from += std::chrono::milliseconds{250}) {
        const TimePoint to = from + limits.window;
        const double requests = std::max({countBetween(traffic.requests, from, to),
                                          countBetween(traffic.requests, from - limits.window, from),
                                          countBetween(traffic.requests, from - limits.window / 2, to - limits.window / 2)});
        worst = std::max(worst, countBetween(traffic.retries, from, to) - (limits.ratio * requests + limits.slack));
    }
    return worst;
}

} // namespace

// Guards against a fleet that exceeds its retry budget, also when callers move between instances, when all instances restart,
// and when each instance gets the reports of only half of the others.
TEST_CASE("the retries of all instances stay within the fleet's bound in every window")
{
    RandomSource random(7);
    constexpr Duration length = std::chrono::seconds{60};
    for (const double perSecond : {2.0, 20.0, 90.0, 300.0, 900.0}) {
        for (const int placed : {4, 12, fleetSize}) {
            for (const int moveSeconds : {0, 3, 11}) {
                for (const int restartSeconds : {0, 7}) {
                    for (const int calmSeconds : {0, 14}) {
                        for (const bool hearsHalf : {false, true}) {
                            const Load load{perSecond,
                                            1,
                                            placed,
                                            std::chrono::seconds{moveSeconds},
                                            std::chrono::seconds{restartSeconds},
                                            std::chrono::seconds{calmSeconds},
                                            hearsHalf};
                            const double excess = worstExcess(simulate(load, length, random), length);
                            CHECK_MESSAGE(excess <= 0,
                                          "over the bound by " << excess << " at " << perSecond << "/s on " << placed << ", moving every "
                                                               << moveSeconds << " s, restarting every " << restartSeconds
                                                               << " s, failing after " << calmSeconds << " s");
                        }
                    }
                }
            }
        }
    }
}

TEST_CASE("an instance starts with an empty retry balance")
{
    FleetRetryBudget budget{FleetRetryLimits{}};
    CHECK_FALSE(budget.allows(at(1)));
    budget.onOriginal(at(1));
    CHECK_MESSAGE(!budget.tryRetry(at(1)), "one request earned a whole retry");
}

// Guards against a budget split so finely that single failures find it empty: with 8 requests a second on 12 instances, 4 of
// 10 failures were not retried. With one request in twelve failing, 98 in 100 are to be served.
TEST_CASE("a small service's occasional failures are retried")
{
    RandomSource random(11);
    const Load load{8, 1.0 / 12, 12, {}, {}, {}, false};
    const Traffic traffic = simulate(load, std::chrono::minutes{10}, random);
    const double unretried = static_cast<double>(traffic.failures) - static_cast<double>(traffic.retries.size());
    const double failedRetries = static_cast<double>(traffic.retries.size()) / 12;
    const double served = 1 - (unretried + failedRetries) / static_cast<double>(traffic.requests.size());
    CHECK_MESSAGE(served >= 0.98, "only " << served << " were served");
}
