/** Checks order, fairness, bound and early refusal of the request queue, and the retry budget, retry hints and connection reuse. */
#include "limits/connectionrule.h"
#include "limits/requestqueue.h"
#include "limits/retrybudget.h"
#include "limits/retryhint.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <queue>

using namespace jackdawdoor;
using namespace jackdawdoor::limits;

namespace {

TimePoint at(double seconds)
{
    return TimePoint{} + fromSeconds(seconds);
}

/** Reference model that sorts at each pop: one list per organisation, served round robin. */
class ReferenceQueue
{
public:
    void push(const QueuedRequest &request)
    {
        const auto found = std::find_if(m_turns.begin(), m_turns.end(), [&request](const auto &turn) {
            return turn.front().organisation == request.organisation;
        });
        if (found == m_turns.end()) {
            m_turns.push_back({request});
        } else {
            found->push_back(request);
        }
    }

    std::optional<QueuedRequest> pop()
    {
        if (m_turns.empty()) {
            return std::nullopt;
        }
        auto &turn = m_turns.front();
        std::stable_sort(turn.begin(), turn.end(), [](const auto &left, const auto &right) {
            return left.deadline < right.deadline;
        });
        const auto next = turn.front();
        turn.erase(turn.begin());
        std::rotate(m_turns.begin(), m_turns.begin() + 1, m_turns.end());
        removeEmpty();
        return next;
    }

    bool remove(std::uint64_t id)
    {
        std::size_t removed = 0;
        for (auto &turn : m_turns) {
            removed += std::erase_if(turn, [id](const auto &request) {
                return request.id == id;
            });
        }
        removeEmpty();
        return removed > 0;
    }

private:
    void removeEmpty()
    {
        std::erase_if(m_turns, [](const auto &turn) {
            return turn.empty();
        });
    }

    std::vector<std::vector<QueuedRequest>> m_turns;
};

} // namespace

TEST_CASE("the queue serves in the order of the reference model: by deadline, organisations round robin")
{
    CHECK_MESSAGE(
        rc::check("queue against a naive sort",
                  [](const std::vector<std::uint16_t> &actions) {
                      RequestQueue queue{100000};
                      ReferenceQueue naive;
                      std::uint64_t id = 0;
                      for (const auto action : actions) {
                          if (action % 8 < 5) {
                              const QueuedRequest request{++id, "o" + std::to_string(action / 8 % 4), at(1000 + action / 32 % 7), 1};
                              RC_ASSERT(queue.push(at(0), request).admission == QueueAdmission::Admitted);
                              naive.push(request);
                          } else if (action % 8 == 5 && id > 0) {
                              const auto gone = 1 + action % id;
                              RC_ASSERT(queue.remove(gone) == naive.remove(gone));
                          } else {
                              RC_ASSERT(queue.pop(at(0)) == naive.pop());
                          }
                      }
                      while (const auto next = naive.pop()) {
                          RC_ASSERT(queue.pop(at(0)) == next);
                      }
                      RC_ASSERT(queue.size() == 0U);
                  }),
        "the queue's order differs from that of a naive sort");
}

TEST_CASE("organisations share the service by cost, and an organisation that floods the queue displaces only its own requests")
{
    RequestQueue queue{100};
    std::uint64_t id = 0;
    for (int count = 0; count < 100; ++count) {
        CHECK_MESSAGE(queue.push(at(0), {++id, "flood", at(100), 4}).admission == QueueAdmission::Admitted,
                      "the queue refused below its bound");
    }
    CHECK_MESSAGE(queue.push(at(0), {++id, "flood", at(100), 4}).admission == QueueAdmission::QueueFull, "the queue exceeded its bound");
    for (int count = 0; count < 40; ++count) {
        const auto result = queue.push(at(0), {++id, "office", at(100), 1});
        CHECK_MESSAGE((result.displaced && *result.displaced <= 100),
                      "a small organisation found no room although another floods the queue");
    }
    CHECK_MESSAGE(queue.size() == 100U, "a displaced request still counts");
    std::map<std::string, int> cost;
    for (int count = 0; count < 40; ++count) {
        const auto next = queue.pop(at(0));
        cost[next->organisation] += next->cost;
    }
    CHECK_MESSAGE(std::abs(cost["flood"] - cost["office"]) <= 8, "organisations did not share the service by cost");
}

TEST_CASE("a request that would expire in the queue is refused at once, and few admitted ones expire")
{
    RandomSource random{11};
    RequestQueue queue{1000};
    int admitted = 0;
    int expired = 0;
    int served = 0;
    std::uint64_t id = 0;
    // 200 requests/s arrive, 100 are served, and each is of use for half a second only.
    for (int tick = 0; tick < 20000; ++tick) {
        const auto now = at(tick * 0.005);
        const auto organisation = "o" + std::to_string(random() % 5);
        admitted +=
            queue.push(now, {++id, organisation, now + std::chrono::milliseconds{500}, 1}).admission == QueueAdmission::Admitted ? 1 : 0;
        expired += static_cast<int>(queue.takeExpired(now).size());
        if (tick % 2 == 0) {
            queue.onServed(now);
            served += queue.pop(now) ? 1 : 0;
        }
    }
    CHECK_MESSAGE(served > 9900, "early refusal left the service idle under overload");
    CHECK_MESSAGE(expired * 50 < admitted, "more than 2% of the admitted requests expired while they waited");
    CHECK_MESSAGE(admitted < 10200, "requests were admitted that cannot be served");
}

TEST_CASE("retries amplify the load of a full outage by at most 1.1, whatever the balance before it")
{
    CHECK_MESSAGE(rc::check("retry amplification",
                            [] {
                                const double burst = *rc::gen::inRange(1, 11);
                                const int before = *rc::gen::inRange(0, 1000);
                                // At least the requests for which the balance of a burst is within the ratio.
                                const int originals = *rc::gen::inRange(static_cast<int>(burst) * 10, 5000);
                                RetryBudget budget{0.1, burst};
                                for (int count = 0; count < before; ++count) {
                                    budget.onOriginal();
                                }
                                int sent = 0;
                                for (int count = 0; count < originals; ++count) {
                                    budget.onOriginal();
                                    ++sent;
                                    for (int attempt = 1; attempt < 3 && budget.tryRetry(); ++attempt) {
                                        ++sent;
                                        budget.onRetryFailed();
                                    }
                                }
                                RC_ASSERT(sent <= 1.1 * originals);
                            }),
                  "a full outage was amplified by more than 1.1");
}

namespace {

struct Herd {
    double peak = 0; ///< largest number of arrivals in 100 ms after the outage, in units of what is served in that time
    double finished = 0; ///< seconds after the outage until all are served
    double refusals = 0; ///< per caller, after the outage
};

/** 2000 callers arrive during an outage of 5 s and retry as hinted; afterwards 400 requests/s are served. */
Herd simulateHerd(const RetryHintStrategy &strategy)
{
    constexpr int callers = 2000;
    constexpr double outage = 5;
    constexpr int servedPerStep = 40; // steps of 100 ms
    RandomSource random{5};
    RetryHint hint{strategy};
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> arrivals;
    for (int caller = 0; caller < callers; ++caller) {
        arrivals.push(at(outage * uniform(random)));
    }
    Herd herd;
    int arrivedInStep = 0;
    long step = -1;
    while (!arrivals.empty()) {
        const auto now = arrivals.top();
        arrivals.pop();
        const long present = now.time_since_epoch() / std::chrono::milliseconds{100};
        arrivedInStep = present == step ? arrivedInStep + 1 : 1;
        step = present;
        const bool over = now >= at(outage);
        herd.peak = over ? std::max(herd.peak, double(arrivedInStep) / servedPerStep) : 0;
        if (over && arrivedInStep <= servedPerStep) {
            hint.onServed(now);
            herd.finished = toSeconds(now - at(outage));
            continue;
        }
        herd.refusals += over ? 1.0 / callers : 0;
        arrivals.push(now + hint.onRefused(now, Duration::zero(), random));
    }
    return herd;
}

} // namespace

TEST_CASE("the default retry hint spreads a thundering herd with the lowest peak and the fewest refusals")
{
    const auto fixed = simulateHerd(fixedRetryHint(std::chrono::seconds{1}));
    const auto computed = simulateHerd(computedRetryHint());
    const auto jittered = simulateHerd(jitteredRetryHint());
    for (const auto &[name, herd] : {std::pair{std::string{"fixed"}, fixed},
                                     std::pair{std::string{"computed"}, computed},
                                     std::pair{std::string{"jittered"}, jittered}}) {
        MESSAGE(name << " hint: peak " << herd.peak << " of capacity, all served after " << herd.finished << " s, " << herd.refusals
                     << " refusals per caller");
    }
    CHECK_MESSAGE(jittered.peak <= std::min(fixed.peak, computed.peak), "another strategy has a lower peak than the default");
    CHECK_MESSAGE(jittered.refusals <= std::min(fixed.refusals, computed.refusals), "another strategy refuses less than the default");
}

TEST_CASE("non-idempotent requests need a connection that answered recently, and shares never exceed the connections")
{
    contract::ServicePolicy policy;
    policy.connectionProofAge = std::chrono::seconds{2};
    const ConnectionRule rule{policy};
    contract::OperationPolicy operation;
    CHECK_MESSAGE(rule.maximumSilence(operation) == policy.connectionProofAge, "a payment may be sent on a connection without proof");
    operation.idempotent = true;
    CHECK_MESSAGE(rule.maximumSilence(operation) > policy.connectionProofAge, "reads open connections needlessly");
    for (int instances = 1; instances < 500; ++instances) {
        CHECK_MESSAGE(ConnectionRule::connectionShare({{}, "", {}, 6, 400}, instances) * instances <= 400,
                      "the shares exceed the connections");
    }
    CHECK_MESSAGE(ConnectionRule::classify(true) == SilenceCause::ConnectionFault,
                  "a silent connection was held against a healthy upstream");
    CHECK_MESSAGE(ConnectionRule::classify(false) == SilenceCause::UpstreamFault, "a silent upstream was taken for a faulty connection");
}
