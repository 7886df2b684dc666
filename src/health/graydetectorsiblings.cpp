/** The part of GrayDetector that compares an upstream with its siblings. */
#include "health/graydetector.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Failure rate of the gray hypothesis; lower rates are detected too, but later. */
constexpr double grayFailureRate = 0.5;
/** Lower bound of the healthy failure rate: a service that never failed must not eject on its first two errors. */
constexpr double smallestFailureRate = 0.005;
constexpr double largestFailureRate = 0.9;
/** Siblings without an answer for this long are ignored, as they do not show whether the whole service fails. */
constexpr Duration recentAnswerTime = std::chrono::seconds{10};
/** Log-likelihood ratio against the siblings, since the first bad answer, that an ejection requires, because a fault of the
 * whole service begins with the same bad answers. The baseline adapts to a slow service, so slowness requires less. */
constexpr double minimumErrorsLikelihoodRatio = 5.5;
constexpr double minimumSlownessLikelihoodRatio = 3.0;
/** Latest answers of each sibling that are compared, so that checks of another suspect do not outweigh healthy siblings. */
constexpr int maximumAnswersPerSibling = 3;
/** Latest answers of all siblings that must be good. A fault of the service that begins just after a random error of one
 * upstream would otherwise be compared with good answers from before it. */
constexpr std::size_t latestAnswersCompared = 2;
/** Multiple of the rate-dependent margin that is added to the threshold for slowness. Without it, 24 hours of noisy but
 * healthy answers at 200 requests/s over 25 upstreams ejected an upstream during a slowdown of one second: the higher the
 * rate, the more slow answers such a slowdown causes. */
constexpr double slownessMarginFactor = 2;
/** Rate of answers up to which no margin is needed. Above it the chances of a false ejection grow in proportion to the rate,
 * so the margin is the logarithm of the excess factor. */
constexpr double marginFreeAnswersPerSecond = 30;
/** Fraction of the required likelihood ratio that suffices to confirm another instance's ejection. */
constexpr double corroborationFraction = 0.5;

} // namespace

double GrayDetector::grayRate(double healthyRate)
{
    return std::max(grayFailureRate, (1 + healthyRate) / 2);
}

double GrayDetector::healthyFailureRate(TimePoint now, std::size_t upstream) const
{
    std::vector<double> shares;
    shares.reserve(m_upstreams.size());
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (index != upstream && m_upstreams[index].answered && now - m_upstreams[index].lastAnswer <= recentAnswerTime) {
            shares.push_back(m_upstreams[index].failureShare);
        }
    }
    if (shares.empty()) {
        return smallestFailureRate;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return std::clamp(*middle, smallestFailureRate, largestFailureRate);
}

bool GrayDetector::isGray(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    if (state.badAnswers + running.slow < m_policy.minimumBadAnswers) {
        return false;
    }
    const double margin = std::log(std::max(1.0, m_answersPerSecond / marginFreeAnswersPerSecond));
    if (state.errors >= m_policy.ejectionThreshold) {
        return siblingLikelihoodRatio(now, upstream) >= minimumErrorsLikelihoodRatio + margin;
    }
    // Existing connections can fail while the upstream is healthy, so requests that hang on them count at most as one.
    const double hanging = running.fresh + std::min(running.total - running.fresh, SlownessTest::maximumStep);
    const double threshold = m_policy.ejectionThreshold + slownessMarginFactor * margin;
    if (std::min(state.slowness, currentSlowness(upstream)) + hanging < threshold) {
        return false;
    }
    return siblingLikelihoodRatio(now, upstream) >= minimumSlownessLikelihoodRatio + margin;
}

double GrayDetector::corroboration(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    const double slowness = std::min(state.slowness, currentSlowness(upstream)) + running.fresh;
    const double needed = state.errors >= slowness ? minimumErrorsLikelihoodRatio : minimumSlownessLikelihoodRatio;
    if (siblingLikelihoodRatio(now, upstream) < needed * corroborationFraction) {
        return 0;
    }
    return std::max(state.errors, slowness);
}

double GrayDetector::currentSlowness(std::size_t upstream) const
{
    // The score was accumulated against earlier baselines. When the whole service becomes slow, the baseline adapts within a
    // few answers, and the upstream is no longer slow in comparison with the current one.
    const auto &state = m_upstreams[upstream];
    double sum = 0;
    for (const auto &answer : state.recent) {
        if (!answer.failed && answer.at >= state.suspectSince) {
            sum = std::max(0.0, sum + slownessRatio(answer.operation, upstream, answer.latency, false));
        }
    }
    return sum;
}

bool GrayDetector::isBad(const Answer &answer, std::size_t subject) const
{
    // All answers are compared with the baseline of the upstream under test. With one baseline per sibling, a baseline that
    // is still adapting would classify the same latency as slow for one upstream and normal for another.
    return answer.failed || slownessRatio(answer.operation, subject, answer.latency, false) > 0;
}

bool GrayDetector::areLatestSiblingAnswersGood(std::size_t upstream) const
{
    std::vector<const Answer *> latest;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const auto &recent = m_upstreams[index].recent;
        const auto count = index == upstream ? 0 : std::min(recent.size(), latestAnswersCompared);
        std::for_each(recent.rbegin(), recent.rbegin() + static_cast<std::ptrdiff_t>(count), [&latest](const Answer &answer) {
            latest.push_back(&answer);
        });
    }
    const auto count = std::min(latest.size(), latestAnswersCompared);
    const auto end = latest.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(latest.begin(), end, latest.end(), [](const Answer *left, const Answer *right) {
        return left->at > right->at;
    });
    return std::none_of(latest.begin(), end, [this, upstream](const Answer *answer) {
        return isBad(*answer, upstream);
    });
}

double GrayDetector::siblingLikelihoodRatio(TimePoint now, std::size_t upstream) const
{
    if (!areLatestSiblingAnswersGood(upstream)) {
        return 0;
    }
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    const bool scored = state.errors > 0 || state.slowness > 0;
    const auto since = scored ? state.suspectSince : running.earliest;
    AnswerCounts own{0, running.slow};
    for (const auto &answer : state.recent) {
        own.add(isBad(answer, upstream), answer.at >= since);
    }
    AnswerCounts others;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (index == upstream) {
            continue;
        }
        int counted = std::min(inProgressEvidence(now, index).slow, maximumAnswersPerSibling);
        others.bad += counted;
        const auto &recent = m_upstreams[index].recent;
        // Only requests sent after the first evidence show the sibling's health since then.
        for (auto answer = recent.rbegin(); answer != recent.rend() && counted < maximumAnswersPerSibling; ++answer) {
            const bool counts = answer->started >= since;
            others.add(isBad(*answer, upstream), counts);
            counted += counts ? 1 : 0;
        }
    }
    return logLikelihoodRatio(own, others);
}

} // namespace jackdawdoor::health
