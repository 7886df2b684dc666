/** Guards against a request that crashes one upstream after another, and against refusing unrelated requests for it. */
#include "base/random.h"
#include "idempotency/crashsuspects.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

using namespace jackdawdoor;
using namespace jackdawdoor::idempotency;

namespace {

constexpr std::uint64_t poisonRequests = 4; // fingerprints 1 to 4 crash every upstream that runs them
constexpr std::uint64_t fingerprints = 30;
constexpr int upstreams = 12;
constexpr int rounds = 120;
constexpr std::size_t holderCount = 3;
constexpr std::size_t slots = 6;

struct SimulationResult {
    std::size_t mostCrashedUpstreams = 0; ///< most upstreams that one poison request crashed
    int unrelatedRefused = 0; ///< refusals of other requests at the end
    int crashes = 0;
    int counted = 0; ///< crashes that health counts in the end
};

UpstreamId upstreamOf(std::uint64_t number)
{
    return UpstreamId{"customer/service/u" + std::to_string(number)};
}

/** Naive rule for comparison: refuses requests in flight at two crashes, without trials or clearing. */
class PresenceCount
{
public:
    SuspectStatus statusOf(TimePoint, std::uint64_t fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        return found != m_crashes.end() && found->second.size() >= 2 ? SuspectStatus::Refused : SuspectStatus::Unrestricted;
    }
    void onCrash(const UpstreamId &upstream, const std::vector<InFlightRequest> &inFlight)
    {
        for (const InFlightRequest &request : inFlight) {
            m_crashes[request.fingerprint].insert(upstream.value);
        }
    }

private:
    std::map<std::uint64_t, std::set<std::string>> m_crashes;
};

/** Holders dispatch batches of requests to upstreams; reports reach the other holders before the next batch. */
SimulationResult simulate(std::uint64_t seed, bool naive, bool faultyUpstream = false)
{
    RandomSource random(seed);
    std::vector<CrashSuspects> holders(holderCount, CrashSuspects(SuspectLimits{}));
    PresenceCount presence;
    std::map<std::uint64_t, std::set<std::string>> crashedBy;
    std::multiset<std::string> counted;
    SimulationResult result;
    const auto statusOf = [&](TimePoint now, std::size_t holder, std::uint64_t fingerprint) {
        return naive ? presence.statusOf(now, fingerprint) : holders[holder].statusOf(now, fingerprint);
    };
    TimePoint now;
    for (int round = 0; round < rounds; ++round) {
        now += std::chrono::milliseconds{100};
        const std::size_t holder = random() % holderCount;
        const UpstreamId upstream = upstreamOf(random() % upstreams);
        std::vector<InFlightRequest> batch;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const InFlightRequest request{1 + random() % fingerprints, 1};
            const SuspectStatus status = statusOf(now, holder, request.fingerprint);
            if (status == SuspectStatus::Exclusive && holders[holder].beginTrial(now, request.fingerprint, upstream)) {
                batch = {request};
                break;
            }
            if (status == SuspectStatus::Unrestricted) {
                batch.push_back(request);
            }
        }
        std::vector<SuspectReport> reports;
        bool crashed = faultyUpstream && upstream == upstreamOf(0) && !batch.empty();
        for (const InFlightRequest &request : batch) {
            if (!faultyUpstream && request.fingerprint <= poisonRequests) {
                crashed = true;
                crashedBy[request.fingerprint].insert(upstream.value);
            }
        }
        if (crashed) {
            ++result.crashes;
            presence.onCrash(upstream, batch);
            const CrashAttribution attribution = holders[holder].onCrash(now, upstream, batch);
            reports = attribution.reports;
            if (attribution.countsAgainstUpstream) {
                counted.insert(upstream.value);
            }
            for (const UpstreamId &retracted : attribution.retracted) {
                const auto found = counted.find(retracted.value);
                if (found != counted.end()) {
                    counted.erase(found);
                }
            }
        } else {
            for (const InFlightRequest &request : batch) {
                if (const auto report = holders[holder].onComplete(now, request.fingerprint)) {
                    reports.push_back(*report);
                }
            }
        }
        for (std::size_t other = 0; other < holderCount; ++other) {
            for (const SuspectReport &report : reports) {
                if (other != holder) {
                    holders[other].onReport(now, report);
                    holders[other].onReport(now, report); // duplicates are harmless
                }
            }
        }
    }
    for (const auto &[poison, crashed] : crashedBy) {
        result.mostCrashedUpstreams = std::max(result.mostCrashedUpstreams, crashed.size());
    }
    for (std::uint64_t fingerprint = poisonRequests + 1; fingerprint <= fingerprints; ++fingerprint) {
        for (std::size_t holder = 0; holder < holderCount; ++holder) {
            result.unrelatedRefused += statusOf(now, holder, fingerprint) == SuspectStatus::Refused ? 1 : 0;
        }
    }
    result.counted = static_cast<int>(counted.size());
    return result;
}

} // namespace

TEST_CASE("a poison request crashes two upstreams at most and no unrelated request is refused")
{
    int naiveUnrelatedRefused = 0;
    int crashes = 0;
    int counted = 0;
    CHECK_MESSAGE(rc::check("suspects",
                            [&] {
                                const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                                const SimulationResult result = simulate(seed, false);
                                RC_ASSERT(result.mostCrashedUpstreams <= 2);
                                RC_ASSERT(result.unrelatedRefused == 0);
                                naiveUnrelatedRefused += simulate(seed, true).unrelatedRefused;
                                crashes += result.crashes;
                                counted += result.counted;
                            }),
                  "a poison request crashed more than two upstreams or an unrelated request was refused");
    CHECK_MESSAGE(naiveUnrelatedRefused > 0, "counting presence alone refuses no unrelated request either: the schedules are too weak");
    CHECK_MESSAGE(counted < crashes / 2, "most crashes by poison requests still count against upstreams");
    MESSAGE("crashes ",
            crashes,
            ", counted against upstreams ",
            counted,
            ", unrelated requests refused by the naive rule ",
            naiveUnrelatedRefused);
}

TEST_CASE("resets of one faulty upstream count against it and block no request")
{
    int crashes = 0;
    int counted = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const SimulationResult result = simulate(seed, false, true);
        CHECK_MESSAGE(result.unrelatedRefused == 0, "a request was refused for the resets of one upstream, seed ", seed);
        crashes += result.crashes;
        counted += result.counted;
    }
    CHECK_MESSAGE(crashes > 100, "the faulty upstream hardly ran anything");
    CHECK_MESSAGE(counted == crashes, "resets of a faulty upstream were attributed to requests");
}

TEST_CASE("a flood of new suspects does not evict blocked fingerprints or suspects of other organisations")
{
    SuspectLimits limits;
    limits.maximumEntries = 50;
    CrashSuspects suspects(limits);
    const TimePoint now;
    suspects.onCrash(now, upstreamOf(0), {{1, 10}});
    suspects.onCrash(now, upstreamOf(1), {{1, 10}});
    suspects.onCrash(now, upstreamOf(2), {{2, 20}});
    for (std::uint64_t flood = 100; flood < 5000; ++flood) {
        suspects.onCrash(now, upstreamOf(flood % upstreams), {{flood, 30}});
        REQUIRE_MESSAGE(suspects.size() <= limits.maximumEntries, "the table outgrew its bound");
    }
    CHECK_MESSAGE(suspects.statusOf(now, 1) == SuspectStatus::Refused, "the flood evicted a blocked fingerprint");
    CHECK_MESSAGE(suspects.statusOf(now, 2) == SuspectStatus::Exclusive, "one organisation evicted the suspect of another");
    const TimePoint later = now + limits.blockDuration;
    suspects.onTick(later);
    CHECK_MESSAGE(suspects.size() == 0, "suspects were kept after their time");
    CHECK_MESSAGE(suspects.statusOf(later, 1) == SuspectStatus::Unrestricted, "a fingerprint stayed blocked after the block duration");
}
