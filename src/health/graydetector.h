/** Detects gray (partially failing) upstreams with sequential tests. */
#pragma once

#include "contract/policy.h"
#include "health/answercounts.h"
#include "health/latencybaseline.h"
#include "health/observation.h"
#include "health/slownesstest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace jackdawdoor::health {

/** State of the two tests of one upstream. */
struct GrayScore {
    double errors = 0; ///< cumulative log-likelihood ratio of failing against healthy
    double slowness = 0; ///< cumulative log-likelihood ratio of slow against healthy, requests in progress included
    int badAnswers = 0; ///< failed and slow answers since the scores were last zero
    double severity = 0; ///< recent share of failures, weighted above recent slowness

    bool operator==(const GrayScore &) const = default;

    double larger() const;
};

/** CUSUM tests of every upstream of one service, for errors and for slowness.
 *
 * The healthy rates are the medians over the other upstreams. An upstream is gray only if its answers since its score left
 * zero differ from those of the others, so a fault of the whole service ejects nothing.
 */
class GrayDetector
{
public:
    GrayDetector(const contract::HealthPolicy &policy, std::size_t upstreams);

    /** A request was sent. freshConnection: it certainly uses a new connection. */
    void attemptStarted(TimePoint now, std::size_t upstream, std::uint64_t attempt, const OperationId &operation, bool freshConnection);

    /** The head of the answer arrived: its latency counts now; the time that the body takes does not count. */
    void headArrived(TimePoint now, std::size_t upstream, std::uint64_t attempt, bool ignoreLatency);

    /** A request ended. ignoreLatency: the upstream is in its cold start.
     *
     * Returns whether the answer was bad (failed or slow), or nothing when the outcome is no evidence about the upstream.
     */
    std::optional<bool> observe(TimePoint now, std::size_t upstream, const Observation &observation, bool ignoreLatency);

    GrayScore score(TimePoint now, std::size_t upstream) const;

    /** True when there is evidence against the upstream, even if it does not suffice to eject it. */
    bool hasEvidence(TimePoint now, std::size_t upstream) const;

    /** True when there is recent evidence against the upstream, so that it should be probed. */
    bool isSuspect(TimePoint now, std::size_t upstream) const;

    /** True when the upstream is suspect or its last answer was rather slow; an idempotent request there gathers evidence. */
    bool needsCheck(TimePoint now, std::size_t upstream) const;

    /** True when the evidence suffices to eject the upstream and its siblings are healthy. */
    bool isGray(TimePoint now, std::size_t upstream) const;

    /** Score that may confirm another instance's ejection: 0 unless the upstream also differs from its siblings here.
     *
     * When a whole service becomes slow, the scores of all its upstreams grow until the baseline has adapted. Two instances
     * that reported the plain scores would confirm a fault for which neither of them would eject.
     */
    double corroboration(TimePoint now, std::size_t upstream) const;

    /** True when only existing connections failed, so that the next attempt should open a new one. */
    bool needsNewConnection(TimePoint now, std::size_t upstream) const;

    int inProgress(std::size_t upstream) const
    {
        return static_cast<int>(m_upstreams[upstream].running.size());
    }

    /** Clears the evidence against an upstream, when its ejection ends. */
    void reset(std::size_t upstream);

    const LatencyBaseline &baseline() const
    {
        return m_baseline;
    }

    /** Moving average of the share of failures among the upstream's answers. */
    double failureShare(std::size_t upstream) const
    {
        return m_upstreams[upstream].failureShare;
    }

    /** Moving average of the share of shed responses among the upstream's answers. */
    double shedShare(std::size_t upstream) const
    {
        return m_upstreams[upstream].shedShare;
    }

    /** Switches to a later policy; keeps the evidence on upstreams that remain. */
    void adoptPolicy(TimePoint now, const contract::HealthPolicy &policy, const UpstreamMapping &mapping);

private:
    struct Running {
        std::uint64_t attempt = 0;
        OperationId operation;
        TimePoint started;
        Duration slowAfter{}; ///< slow threshold when the request was sent, cached
        bool freshConnection = false;
        bool headSeen = false; ///< the head arrived; the time that the body takes does not count
        bool slow = false; ///< with headSeen: the head was slow
    };
    struct Answer {
        std::size_t upstream = 0;
        TimePoint started;
        TimePoint at;
        bool failed = false;
        OperationId operation;
        Duration latency{};
    };
    struct Upstream {
        double errors = 0;
        double slowness = 0;
        int badAnswers = 0;
        TimePoint suspectSince; ///< when the scores left zero
        TimePoint lastAnswer;
        bool answered = false;
        TimePoint lastBad;
        bool everBad = false;
        int deferredFailures = 0; ///< failures on old connections, not counted until a new connection fails too
        double failureShare = 0;
        double shedShare = 0;
        double lastExcess = 0; ///< log(latency / baseline) of the last success
        double recentExcess = 0; ///< moving mean of log(latency / baseline)
        std::vector<Running> running;
        std::deque<Answer> recent; ///< latest answers, oldest first
    };
    struct InProgressEvidence {
        double fresh = 0; ///< evidence from requests on new connections
        double total = 0;
        int slow = 0; ///< requests past the slow threshold
        TimePoint earliest = TimePoint::max(); ///< start of the first of these
    };

    static double grayRate(double healthyRate);
    static void updateSuspectSince(TimePoint now, Upstream &state);
    double healthyFailureRate(TimePoint now, std::size_t upstream) const;
    double slownessRatio(const OperationId &operation, std::size_t upstream, Duration latency, bool stillRunning) const;
    InProgressEvidence inProgressEvidence(TimePoint now, std::size_t upstream) const;
    double siblingLikelihoodRatio(TimePoint now, std::size_t upstream) const;
    std::optional<bool> observeFailure(TimePoint now, std::size_t upstream, const Observation &observation, TimePoint started);
    void addFailure(TimePoint now, std::size_t upstream);
    void addSlowness(TimePoint now, std::size_t upstream, double ratio);
    bool learnLatency(TimePoint now, std::size_t upstream, const OperationId &operation, Duration latency);
    void updateExcess(std::size_t upstream, const OperationId &operation, Duration latency);
    std::optional<bool> observeAbandoned(TimePoint now, std::size_t upstream, const Observation &observation, bool ignoreLatency);
    void countAnswer(Answer answer, bool bad);
    bool isBad(const Answer &answer, std::size_t subject) const;
    double currentSlowness(std::size_t upstream) const;
    bool areLatestSiblingAnswersGood(std::size_t upstream) const;

    contract::HealthPolicy m_policy;
    SlownessTest m_slowness;
    LatencyBaseline m_baseline;
    std::vector<Upstream> m_upstreams;
    double m_answersPerSecond = 0; ///< moving rate of all answers at m_lastAnswer
    TimePoint m_lastAnswer;
};

} // namespace jackdawdoor::health
